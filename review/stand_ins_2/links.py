"""A link of the network: forwards channels to one address, and can reset them."""

import contextlib
import socket
import struct
import threading

_LINGER_NONE = struct.pack("ii", 1, 0)


class Link:
    """A proxy before one address; the other end of each channel is the client's."""

    def __init__(self, listen_ip: str, address: tuple[str, int]) -> None:
        self._address = address
        self._listener = socket.create_server((listen_ip, 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._lock = threading.Lock()
        # Both sockets of each channel, by the address of its client.
        self._sockets_by_client: dict[
            tuple[str, int], tuple[socket.socket, socket.socket]
        ] = {}
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self, client: tuple[str, int]) -> bool:
        """Reset the channel of a client on both sides; return whether there is one."""
        with self._lock:
            sockets = self._sockets_by_client.pop(client, None)
        if sockets is None:
            return False
        for each in sockets:
            # With this option a close sends a reset. The shutdown of the reading side
            # wakes the thread that reads, which would otherwise keep the socket open.
            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RD)
            each.close()
        return True

    def _accept(self) -> None:
        while True:
            near, client = self._listener.accept()
            far = socket.create_connection(self._address)
            with self._lock:
                self._sockets_by_client[client] = (near, far)
            for source, target in ((near, far), (far, near)):
                arguments = (source, target)
                threading.Thread(target=_forward, args=arguments, daemon=True).start()


def _forward(source: socket.socket, target: socket.socket) -> None:
    """Forward bytes until the end of the channel, and then that end."""
    with contextlib.suppress(OSError):
        while data := source.recv(65536):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
