"""A fake service that scores samples.

The score is a hash of the sample's tokens, so a test that has the tokens can check
whether a score belongs to them.
"""

import hashlib
from collections.abc import Sequence

from bilberrydrum import runtime

runtime.prepare()

from tests.fakes import application, server


def score_of(token_ids: Sequence[int]) -> float:
    """Return the score of a sample, from 0 to 1."""
    text = ",".join(str(i) for i in token_ids)
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:4]) / 2**32


def score(request: server.Request) -> server.Answer:
    """Serve ``POST /score``."""
    body = request.json()
    return server.Answer(
        value={"sample_id": body["sample_id"], "score": score_of(body["token_ids"])}
    )


def main() -> None:
    """Run the service."""
    arguments = application.parser(__doc__)
    arguments.add_argument("--application", default="scorer")
    options = arguments.parse_args()
    service = application.Application(options.application, options)
    service.add("POST", "/score", score)
    service.run()


if __name__ == "__main__":
    main()
