"""Messages between the system's processes, over ZeroMQ.

A process binds one ROUTER socket, on which it receives from all others, and opens one
DEALER socket to each process that it sends to. Messages are one-way. An answer is a
separate message to the sender's address, matched to the call by its call id. Every
message is in an envelope that names the protocol version, the state group, the sender
and the sender's incarnation. A message that cannot be understood is counted and
dropped; it never stops the process.
"""

import functools
import itertools
import random
from collections.abc import Callable
from typing import Any, Final

import attrs
import eventlet
import eventlet.event
import eventlet.green.zmq as zmq
import msgpack
import result
import zmq.utils.z85 as z85

from bilberrydrum import codec, counters, packing, reasons, tasks

PROTOCOL_VERSION: Final = 1
# Most messages in the queue to one peer. Further ones are dropped and counted.
SEND_HIGH_WATER_MARK: Final = 2_000
# Interval of the ZeroMQ heartbeats, and time without a reply after which a connection
# is closed, in milliseconds. Thus a connection that went silent is replaced within 2 s,
# before the process at its other end counts as lost (after 3 s).
HEARTBEAT_MS: Final = 500
HEARTBEAT_TIMEOUT_MS: Final = 1500
# An attempt to connect is aborted and repeated after this many milliseconds, a few
# times the longest latency between two regions. A host without power does not answer,
# and the kernel repeats its request only after a second. After a power loss of all
# hosts, the first replica to return would wait this second for those that return 0.4 s
# after it, and the group with it.
CONNECT_TIMEOUT_MS: Final = 300
# A connection that was accepted, but on which the handshake gets no answer, is closed
# after this many milliseconds. ZeroMQ's default is 30 s.
HANDSHAKE_TIMEOUT_MS: Final = 1000
# Longest interval between attempts to connect to an absent peer, in milliseconds. After
# all processes were started together, they wait this long for each other.
RECONNECT_MAX_MS: Final = 200
# Largest message that is received. ZeroMQ closes a connection that announces a longer
# one, for which it would reserve memory. The longest ones submit a batch, whose body a
# gateway limits to 64 MB.
MAX_MESSAGE_BYTES: Final = 96 * 1024 * 1024
# Number of messages received before other tasks get to run.
RECEIVE_BATCH: Final = 16
_TASK: Final = "transport"


_IS_INT: Final = attrs.validators.instance_of(int)
_IS_STR: Final = attrs.validators.instance_of(str)
_IS_BYTES: Final = attrs.validators.instance_of(bytes)


@attrs.frozen
class Sender:
    """The sender of a message, and the call that it waits to have answered."""

    process_id: str
    # Address of the sender's ROUTER, ``IP:port``.
    address: str
    incarnation: int
    # Number of the call that waits for an answer; 0: none.
    call_id: int = 0


@attrs.frozen
class Envelope:
    """The envelope of each message on the wire.

    It is encoded as a list of the values in this order, because the names of the fields
    would be more than half of a short message. The version comes first, and later
    versions may only append fields.
    """

    version: int = attrs.field(validator=_IS_INT)
    group: str = attrs.field(validator=_IS_STR)
    sender: str = attrs.field(validator=_IS_STR)
    address: str = attrs.field(validator=_IS_STR)
    incarnation: int = attrs.field(validator=_IS_INT)
    body: bytes = attrs.field(validator=_IS_BYTES)
    call_id: int = attrs.field(default=0, validator=_IS_INT)
    answers_call_id: int = attrs.field(default=0, validator=_IS_INT)


_N_ENVELOPE_FIELDS: Final = len(attrs.fields(Envelope))


def pack(envelope: Envelope) -> bytes:
    """Return the bytes of `envelope`."""
    return packing.pack(attrs.astuple(envelope, recurse=False))


def _pack_around(envelope: Envelope, body: list[bytes]) -> bytes:
    """Return the bytes of `envelope` with a large body, which is copied only once."""
    values = attrs.astuple(envelope, recurse=False)
    position = [each.name for each in attrs.fields(Envelope)].index("body")
    before = [msgpack.packb(each) for each in values[:position]]
    after = [msgpack.packb(each) for each in values[position + 1 :]]
    header = packing.bin_header(sum(len(part) for part in body))
    array = msgpack.Packer().pack_array_header(len(values))
    return b"".join([array, *before, header, *body, *after])


def unpack(data: bytes) -> Envelope:
    """Return the envelope in `data`.

    Raises
    ------
    codec.DecodeError
        If `data` is not an envelope.
    """
    try:
        fields = msgpack.unpackb(data)
        return Envelope(*fields[:_N_ENVELOPE_FIELDS])
    except Exception as error:
        raise codec.DecodeError(f"not an envelope: {error}") from error


@attrs.frozen
class CallError:
    """A call got no answer."""

    reason: reasons.Reason
    detail: str = ""


Handler = Callable[[Sender, Any], None]


@attrs.define
class CurveKeys:
    """Z85 keys of this process and of the peers that may connect."""

    public: bytes
    secret: bytes
    # Public keys by peer address.
    peers_by_address: dict[str, bytes]


class Transport:
    """The task that owns the process's ZeroMQ sockets.

    Handlers are called in the receiving task and must not block: they put the message
    on a queue or answer at once.
    """

    def __init__(
        self,
        process_id: str,
        group: str,
        address: str,
        keys: CurveKeys | None = None,
        bind_host: str = "",
    ) -> None:
        """Create the transport; no socket is bound before `start`.

        Parameters
        ----------
        address : str
            Where others reach this process, ``IP:port``.
        bind_host : str
            The IP to bind if it differs from that of `address`, for example behind
            NAT; empty: the same.
        """
        self.process_id = process_id
        self.group = group
        self.address = address
        self._bind_host = bind_host
        self.incarnation = 0
        self._keys = keys
        self._context = zmq.Context()
        self._handlers: dict[type[Any], Handler] = {}
        self._dealers_by_address: dict[str, Any] = {}
        self._incarnations_by_sender: dict[str, int] = {}
        self._calls: dict[int, eventlet.event.Event] = {}
        # Call ids start at a random number, so that those of two incarnations of this
        # process differ. Otherwise, a late answer to a call of an earlier incarnation
        # could be taken for the answer to a new call.
        self._call_ids = itertools.count(random.SystemRandom().getrandbits(48) + 1)
        self._router: Any = None
        self._tasks: list[Any] = []
        self._n_received = 0

    def on(self, message_class: type[Any], handler: Handler) -> None:
        """Call `handler` for each message of `message_class`."""
        self._handlers[message_class] = handler

    def start(self) -> None:
        """Bind the ROUTER and start receiving."""
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        if self._keys is not None:
            self._tasks.append(eventlet.spawn(self._authenticate, self._keys))
            router.curve_server = True
            router.curve_secretkey = self._keys.secret
            router.curve_publickey = self._keys.public
            router.zap_domain = b"peers"
        host, _, port = self.address.rpartition(":")
        router.bind(f"tcp://{self._bind_host or host}:{port}")
        self._router = router
        self._tasks.append(eventlet.spawn(tasks.run_forever, _TASK, self._receive_next))

    def stop(self) -> None:
        """Close all sockets; pending calls return an error."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        for dealer in self._dealers_by_address.values():
            dealer.close()
        self._dealers_by_address.clear()
        if self._router is not None:
            self._router.close()
            self._router = None
        for call in list(self._calls.values()):
            if not call.ready():
                call.send(None)

    def send(
        self, address: str, message: object, call_id: int = 0, answers: int = 0
    ) -> bool:
        """Send `message` to the process at `address`; never blocks.

        Returns
        -------
        bool
            False if the message was dropped, because the queue to the peer is full or
            the public key of the peer is not known.
        """
        if self._keys is not None and address not in self._keys.peers_by_address:
            # Without its public key, the peer cannot be authenticated.
            counters.dropped(reasons.Reason.PEER_UNREACHABLE)
            return False
        try:
            # If the peer is gone, a blocking send on its DEALER would hang the calling
            # task. With NOBLOCK the message is lost instead, which every protocol here
            # must tolerate anyway.
            data = self._pack(message, call_id, answers)
            self._dealer(address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            counters.dropped(reasons.Reason.PEER_UNREACHABLE)
            return False
        return True

    def _pack(self, message: object, call_id: int, answers: int) -> bytes:
        body = codec.encode_parts(message)
        envelope = Envelope(
            PROTOCOL_VERSION,
            self.group,
            self.process_id,
            self.address,
            self.incarnation,
            body[0] if len(body) == 1 else b"",
            call_id,
            answers,
        )
        return pack(envelope) if len(body) == 1 else _pack_around(envelope, body)

    def answer(self, sender: Sender, message: object) -> bool:
        """Send `message` as the answer to the call of `sender`."""
        return self.send(sender.address, message, answers=sender.call_id)

    def call(
        self, address: str, message: object, timeout: float
    ) -> result.Result[Any, CallError]:
        """Send `message` and wait at most `timeout` seconds for its answer."""
        call_id = next(self._call_ids)
        done = eventlet.event.Event()
        self._calls[call_id] = done
        try:
            if not self.send(address, message, call_id=call_id):
                return result.Err(CallError(reasons.Reason.PEER_UNREACHABLE, address))
            with eventlet.Timeout(timeout, False):
                reply = done.wait()
                if reply is not None:
                    return result.Ok(reply)
            return result.Err(CallError(reasons.Reason.PEER_UNREACHABLE, address))
        finally:
            del self._calls[call_id]

    def forget(self, address: str) -> None:
        """Close the connection to a process that has left."""
        dealer = self._dealers_by_address.pop(address, None)
        if dealer is not None:
            dealer.close()

    def _dealer(self, address: str) -> Any:
        dealer = self._dealers_by_address.get(address)
        if dealer is None:
            dealer = self._context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
            # Without heartbeats, the connection would stay half open after the peer
            # stopped without closing it or the link went silent, until the kernel
            # closes it minutes later.
            dealer.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
            # A host without power does not answer an attempt to connect. Without the
            # timeout, its successor at the same address would be reached only when the
            # kernel repeats the request.
            dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
            dealer.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
            dealer.setsockopt(zmq.RECONNECT_IVL, 50)
            dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            if self._keys is not None:
                dealer.curve_secretkey = self._keys.secret
                dealer.curve_publickey = self._keys.public
                dealer.curve_serverkey = self._keys.peers_by_address[address]
            dealer.connect(f"tcp://{address}")
            self._dealers_by_address[address] = dealer
        return dealer

    def _receive_next(self) -> None:
        frames = self._router.recv_multipart()
        self._n_received += 1
        self._receive_frame(frames[-1])
        # Receiving does not yield while messages are queued. Without this sleep, one
        # busy peer would keep other tasks, such as heartbeats, from running.
        if self._n_received % RECEIVE_BATCH == 0:
            eventlet.sleep(0)

    def _receive_frame(self, data: bytes) -> None:
        try:
            envelope = unpack(data)
        except codec.DecodeError:
            counters.dropped(reasons.Reason.MESSAGE_DAMAGED)
            return
        if envelope.version > PROTOCOL_VERSION:
            counters.dropped(reasons.Reason.MESSAGE_NEWER_VERSION)
            return
        if envelope.group != self.group:
            counters.dropped(reasons.Reason.MESSAGE_WRONG_GROUP)
            return
        if not self._is_current(envelope):
            counters.dropped(reasons.Reason.MESSAGE_STALE_SENDER)
            return
        self._dispatch(envelope)

    def _is_current(self, envelope: Envelope) -> bool:
        # A message of an earlier incarnation of a restarted process may arrive after
        # the first one of its new incarnation. Incarnations rise at each start; 0 means
        # that the sender has not registered yet.
        known = self._incarnations_by_sender.get(envelope.sender, 0)
        if envelope.incarnation and envelope.incarnation < known:
            return False
        self._incarnations_by_sender[envelope.sender] = max(known, envelope.incarnation)
        return True

    def _dispatch(self, envelope: Envelope) -> None:
        try:
            message = codec.decode(envelope.body)
        except codec.UnknownTypeError:
            counters.dropped(reasons.Reason.MESSAGE_UNKNOWN_TYPE)
            return
        except codec.DecodeError:
            counters.dropped(reasons.Reason.MESSAGE_DAMAGED)
            return
        if envelope.answers_call_id:
            call = self._calls.get(envelope.answers_call_id)
            if call is not None and not call.ready():
                call.send(message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            counters.dropped(reasons.Reason.MESSAGE_UNKNOWN_TYPE)
            return
        sender = Sender(
            envelope.sender, envelope.address, envelope.incarnation, envelope.call_id
        )
        # If the receiving task ended, this process would receive nothing, not even the
        # answers to its own calls, and would continue as if all other processes were
        # down.
        with tasks.errors_recorded(_TASK):
            handler(sender, message)

    def _authenticate(self, keys: CurveKeys) -> None:
        """Answer ZeroMQ's authentication requests (ZAP) for the bound socket."""
        allowed = frozenset(keys.peers_by_address.values())
        socket = self._context.socket(zmq.REP)
        socket.setsockopt(zmq.LINGER, 0)
        socket.bind("inproc://zeromq.zap.01")
        tasks.run_forever(
            "transport-authentication",
            functools.partial(_answer_authentication, socket, allowed),
        )


def _answer_authentication(socket: Any, allowed: frozenset[bytes]) -> None:
    frames = socket.recv_multipart()
    code = b"400"
    try:
        if len(frames) > 6 and z85.encode(frames[6]) in allowed:
            code = b"200"
    finally:
        # Without an answer the socket would accept no further request.
        socket.send_multipart([*frames[:2], code, b"", b"", b""])
