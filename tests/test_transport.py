"""Messages between processes: what cannot be understood is counted and dropped."""

import unittest
from unittest import mock

import attrs
import eventlet
import eventlet.green.zmq as zmq
import msgpack
from nose2 import tools

from bilberrydrum import codec, counters, transport
from tests import helpers


@codec.register("test.ping")
@attrs.frozen
class Ping:
    number: int


@codec.register("test.unheard")
@attrs.frozen
class Unhandled:
    number: int = 0


def envelope(**changes):
    fields = {
        "version": transport.PROTOCOL_VERSION,
        "group": "main",
        "sender": "a",
        "address": "127.0.0.1:1",
        "incarnation": 5,
        "body": codec.encode(Ping(1)),
    }
    return transport.pack(transport.Envelope(**{**fields, **changes}))


def drops(reason):
    return counters.DROPS.labels(reason)._value.get()


def make_transport(name, keys=None, address=None):
    made = transport.Transport(
        name, "main", address or f"127.0.0.1:{helpers.free_port()}", keys
    )
    made.start()
    return made


class TransportCase(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.receiver = make_transport("b")
        self.addCleanup(self.receiver.stop)
        self.receiver.on(Ping, self.receive)

    def receive(self, sender, message):
        self.received.append(message.number)
        self.receiver.answer(sender, Ping(message.number + 1))

    @tools.params(
        ("newer version", envelope(version=99), "message-newer-version"),
        ("other group", envelope(group="other"), "message-wrong-group"),
        ("unknown type", envelope(body=b"\x92\xa1x\x80"), "message-unknown-type"),
        (
            "no handler",
            envelope(body=codec.encode(Unhandled())),
            "message-unknown-type",
        ),
        ("damaged body", envelope(body=b"\xc1"), "message-damaged"),
        ("damaged envelope", b"\xc1\xc1", "message-damaged"),
        ("no envelope", codec.encode(Ping(1)), "message-damaged"),
        (
            "field of a wrong type",
            b"\x96\x01\x02\xa1a\xa1a\x05\xc4\x00",
            "message-damaged",
        ),
        (
            "newer version with a field more",
            msgpack.packb([99, "main", "a", "127.0.0.1:1", 5, b"", 0, 0, "more"]),
            "message-newer-version",
        ),
        ("earlier incarnation", envelope(incarnation=4), "message-stale-sender"),
    )
    def test_bad_message_is_counted_and_dropped(self, name, data, reason):
        """A peer of another release, group or incarnation sends; the next one works."""
        with zmq.Context() as context, context.socket(zmq.DEALER) as dealer:
            dealer.connect(f"tcp://{self.receiver.address}")
            dealer.send(envelope())
            before = drops(reason)
            dealer.send(data)
            dealer.send(envelope(body=codec.encode(Ping(9))))
            with eventlet.Timeout(10):
                while 9 not in self.received:
                    eventlet.sleep(0.01)
        self.assertEqual(self.received, [1, 9])
        self.assertEqual(drops(reason), before + 1)

    def test_message_without_bound(self):
        """A program that connects by mistake takes a process's memory."""
        with mock.patch.object(transport, "MAX_MESSAGE_BYTES", 10_000):
            receiver = make_transport("c")
        self.addCleanup(receiver.stop)
        receiver.on(Ping, self.receive)
        with (
            zmq.Context() as context,
            context.socket(zmq.DEALER) as large,
            context.socket(zmq.DEALER) as usual,
        ):
            for dealer in (large, usual):
                dealer.connect(f"tcp://{receiver.address}")
            large.send(envelope(address="x" * 20_000))
            eventlet.sleep(0.1)
            usual.send(envelope(body=codec.encode(Ping(9))))
            with eventlet.Timeout(10):
                while 9 not in self.received:
                    eventlet.sleep(0.01)
        self.assertEqual(self.received, [9])

    def test_receiving_continues_after_a_handler_failed(self):
        """A process receives nothing any longer, not even answers to its own calls.

        A handler raises an unexpected error. If it ended the receiving task, the
        process would stay up without receiving any message until it was restarted.
        """

        def fail(sender, message):
            self.receiver.on(Ping, self.receive)
            raise KeyError("a fault in the handler")

        self.receiver.on(Ping, fail)
        sender = make_transport("a")
        self.addCleanup(sender.stop)
        sender.send(self.receiver.address, Ping(1))
        answer = sender.call(self.receiver.address, Ping(2), 5.0)
        self.assertTrue(answer.is_ok())
        self.assertEqual(self.received, [2])

    def test_call_gets_its_own_answer(self):
        sender = make_transport("a")
        self.addCleanup(sender.stop)
        tasks = [
            eventlet.spawn(sender.call, self.receiver.address, Ping(n), 10)
            for n in range(20)
        ]
        answers = [task.wait().unwrap().number for task in tasks]
        self.assertEqual(answers, [n + 1 for n in range(20)])

    def test_late_answer_to_an_earlier_incarnation_is_ignored(self):
        """A process calls, restarts and calls again; the first answer arrives late.

        If call ids started from the same number, the second call would return the
        answer to the first.
        """
        received = []
        self.receiver.on(Unhandled, lambda sender, message: received.append(sender))
        for _ in range(2):
            process = make_transport("a")
            process.call(self.receiver.address, Unhandled(), 0.2)
            process.stop()
        self.assertEqual(len({sender.call_id for sender in received}), 2)

    def test_call_to_absent_peer_ends_in_time_and_never_hangs(self):
        """The peer's host is gone: calls end at their timeout, sends don't block."""
        sender = make_transport("a")
        self.addCleanup(sender.stop)
        absent = f"127.0.0.1:{helpers.free_port()}"
        with eventlet.Timeout(30):
            answer = sender.call(absent, Ping(1), 0.05)
            for n in range(transport.SEND_HIGH_WATER_MARK + 10):
                sender.send(absent, Ping(n))
        self.assertTrue(answer.is_err())

    def test_connection_without_an_answer_is_given_up(self):
        """The peer's port accepts a connection, but nothing answers on it.

        The same happens if a link fails while the connection is made. A process that
        starts at this address a little later must be reached soon, not after ZeroMQ's
        default of 30 s.
        """
        port = helpers.free_port()
        mute = eventlet.listen(("127.0.0.1", port))
        sender = make_transport("a")
        self.addCleanup(sender.stop)
        sender.send(f"127.0.0.1:{port}", Ping(1))
        taken, _ = mute.accept()
        self.addCleanup(taken.close)
        mute.close()
        receiver = make_transport("c", address=f"127.0.0.1:{port}")
        self.addCleanup(receiver.stop)
        receiver.on(Ping, self.receive)
        with eventlet.Timeout(6.0):
            while not self.received:
                sender.send(f"127.0.0.1:{port}", Ping(2))
                eventlet.sleep(0.05)

    def test_wrong_curve_key_is_refused_and_right_one_accepted(self):
        """A process with a key that is not listed gets no message through."""
        public, secret = zmq.curve_keypair()
        other_public, other_secret = zmq.curve_keypair()
        address = f"127.0.0.1:{helpers.free_port()}"
        keys = transport.CurveKeys(public, secret, {address: public})
        receiver = make_transport("c", keys, address)
        self.addCleanup(receiver.stop)
        receiver.on(Ping, lambda sender, message: receiver.answer(sender, message))
        unlisted_keys = transport.CurveKeys(
            other_public, other_secret, {address: public}
        )
        unlisted = make_transport("d", unlisted_keys)
        self.addCleanup(unlisted.stop)
        self.assertTrue(unlisted.call(address, Ping(1), 1.0).is_err())
        before = drops("peer-unreachable")
        self.assertFalse(
            unlisted.send("127.0.0.1:1", Ping(1)),
            "sent to a peer whose key is not known",
        )
        self.assertEqual(drops("peer-unreachable"), before + 1)
        self.assertEqual(receiver.call(address, Ping(3), 10).unwrap().number, 3)


class CodecCase(unittest.TestCase):
    def test_neighbouring_release_is_understood(self):
        """A newer sender adds a field, an older one lacks a field with a default."""
        self.assertEqual(codec.decode(b"\x92\xactest.unheard\x80"), Unhandled(0))
        newer = b"\x92\xactest.unheard\x82\xa6number\x05\xa1z\x01"
        self.assertEqual(codec.decode(newer), Unhandled(5))

    @tools.params(
        ("wrong type", b"\x92\xa9test.ping\x81\xa6number\xa1x"),
        ("missing field", b"\x92\xa9test.ping\x80"),
        ("no name", b"\x92\x01\x80"),
        ("empty", b""),
    )
    def test_damage_is_an_error(self, name, data):
        with self.assertRaises(codec.DecodeError):
            codec.decode(data)
