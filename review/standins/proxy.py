"""A TCP proxy that holds back bytes and ends of streams, as a partition does.

``Cuts`` tells which directions are cut; all proxies of a test share it. Bytes that
arrive meanwhile are delivered, in order, once the cut is over.

A reset is sent once and never again, so one that is sent during a cut is lost. The peer
then learns of it from the answer to its next keep-alive probe: it has probed since the
last byte that it received, at the interval that it has set itself.
"""

import socket
import struct
import threading
import time


POLL_S = 0.005


class Cuts:
    """The addresses of machines from and to which nothing passes."""

    def __init__(self):
        self.outgoing = set()
        self.incoming = set()
        self.silenced = 0

    def silence(self):
        """Makes the open channels of proxies with ``may_fall_silent`` silent for good.

        Nothing passes on them any more, neither bytes nor ends nor resets. New channels
        work.
        """
        self.silenced += 1

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
        probe_s: Interval of the keep-alive probes of the machine behind the proxy.
        may_fall_silent: Whether ``Cuts.silence`` applies to its channels.
    """

    def __init__(
        self,
        cuts,
        listen,
        upstream,
        target,
        source=None,
        probe_s=1.0,
        may_fall_silent=False,
    ):
        self.probe_s = probe_s
        self.may_fall_silent = may_fall_silent
        self.cuts = cuts
        self.upstream = upstream
        self.target = target
        self.source = source
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

    def _is_silent(self, silenced):
        return self.may_fall_silent and self.cuts.silenced != silenced

    def _serve(self, near, source):
        silenced = self.cuts.silenced
        self._wait(source, self.target)
        try:
            far = socket.create_connection(self.upstream, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        other = threading.Thread(
            target=self._pump,
            args=(far, near, self.target, source, silenced),
            daemon=True,
        )
        other.start()
        self._pump(near, far, source, self.target, silenced)
        other.join()
        for end in (near, far):
            end.close()

    def _pump(self, reader, writer, source, target, silenced):
        passed_at = time.monotonic()
        while True:
            try:
                data = reader.recv(65536)
            except OSError:
                if self._is_silent(silenced):
                    return
                self._pass_reset(writer, source, target, passed_at)
                return
            if self._is_silent(silenced):
                if not data:
                    return
                continue
            self._wait(source, target)
            try:
                if not data:
                    writer.shutdown(socket.SHUT_WR)
                    return
                writer.sendall(data)
            except OSError:
                return
            passed_at = time.monotonic()

    def _pass_reset(self, writer, source, target, passed_at):
        if self.cuts.blocks(source, target):
            self._wait(source, target)
            silent_s = time.monotonic() - passed_at
            time.sleep(self.probe_s - silent_s % self.probe_s)
        try:
            linger = struct.pack("ii", 1, 0)
            writer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            # The other thread may wait for data of this socket.
            writer.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        writer.close()
