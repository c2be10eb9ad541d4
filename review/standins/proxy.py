"""A TCP proxy that holds back bytes and ends of streams, as a partition does.

``Cuts`` tells which directions are cut; all proxies of a test share it. Bytes that
arrive meanwhile are delivered, in order, once the cut is over.
"""

import socket
import threading
import time


POLL_S = 0.005


class Cuts:
    """The addresses of machines from and to which nothing passes."""

    def __init__(self):
        self.outgoing = set()
        self.incoming = set()

    def cut(self, host):
        """Cuts a machine off in both directions."""
        self.outgoing.add(host)
        self.incoming.add(host)

    def heal(self, host):
        """Ends the cuts of a machine."""
        self.outgoing.discard(host)
        self.incoming.discard(host)

    def blocks(self, source, target):
        """Returns whether nothing passes from one machine to another."""
        return source in self.outgoing or target in self.incoming


class Proxy:
    """Forwards the connections of one address.

    Args:
        cuts: Which directions are cut.
        listen: Host and port to listen on.
        upstream: Host and port to forward to.
        target: Name of the machine behind the proxy in ``cuts``.
        source: Name of the machine in front of it; None for the peer's host.
    """

    def __init__(self, cuts, listen, upstream, target, source=None):
        self.cuts = cuts
        self.upstream = upstream
        self.target = target
        self.source = source
        self.open = set()
        self.listener = socket.create_server(listen, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, address = self.listener.accept()
            except OSError:
                return
            source = self.source or address[0]
            threading.Thread(
                target=self._serve, args=(near, source), daemon=True
            ).start()

    def _wait(self, source, target):
        while self.cuts.blocks(source, target):
            time.sleep(POLL_S)

    def _serve(self, near, source):
        self._wait(source, self.target)
        try:
            far = socket.create_connection(self.upstream, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(end)
        other = threading.Thread(
            target=self._pump, args=(far, near, self.target, source), daemon=True
        )
        other.start()
        self._pump(near, far, source, self.target)
        other.join()
        for end in (near, far):
            self.open.discard(end)
            end.close()

    def _pump(self, reader, writer, source, target):
        while True:
            try:
                data = reader.recv(65536)
            except OSError:
                data = b""
            self._wait(source, target)
            try:
                if not data:
                    writer.shutdown(socket.SHUT_WR)
                    return
                writer.sendall(data)
            except OSError:
                reader.close()
                return
