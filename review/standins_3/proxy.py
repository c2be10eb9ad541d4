"""A proxy before an address, which resets channels or lets them fall silent."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading


RST_ON_CLOSE = struct.pack("ii", 1, 0)
RECEIVE_BYTES = 65536
WAIT_S = 0.05


class ResettingProxy:
    """Forwards each channel to one address.

    Attributes:
        address: Address on which it listens.
    """

    def __init__(self, host: str, port: int, upstream: str) -> None:
        self.upstream = upstream
        self.listener = socket.create_server((host, port))
        self.address = f"{host}:{port}"
        self.channels: list[tuple[socket.socket, socket.socket]] = []
        self.lock = threading.Lock()
        self.is_dark = False
        self.is_refusing = False
        self.held: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.is_refusing:
                _reset(client)
                continue
            if self.is_dark:
                self.held.append(client)
                continue
            host, _, port = self.upstream.rpartition(":")
            try:
                server = socket.create_connection((host, int(port)), 5.0)
            except OSError:
                client.close()
                continue
            # A reset is sent only when no thread waits for data any more.
            for end in (client, server):
                end.settimeout(WAIT_S)
            pair = (client, server)
            with self.lock:
                self.channels.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward, args=(pair, source, sink), daemon=True
                ).start()

    def _forward(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        while True:
            try:
                data = source.recv(RECEIVE_BYTES)
                if self.is_silent(pair):
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except TimeoutError:
                continue
            except OSError:
                self._end(pair)
                return
            if self.is_silent(pair):
                return

    def _end(self, pair: tuple[socket.socket, socket.socket]) -> None:
        with self.lock:
            if pair in self.channels:
                self.channels.remove(pair)
        for end in pair:
            end.close()

    def is_silent(self, pair: tuple[socket.socket, socket.socket]) -> bool:
        """Returns whether nothing passes on a channel any more."""
        return self.is_dark or pair not in self.channels

    def fall_silent(self) -> None:
        """Cuts all channels without a reset, as if the machine had lost its power."""
        with self.lock:
            self.is_dark = True
            self.held += [end for pair in self.channels for end in pair]
            self.channels.clear()

    def go_on(self) -> None:
        """Serves new channels again."""
        self.is_dark = self.is_refusing = False

    def refuse(self) -> None:
        """Resets all channels, and each new one."""
        self.is_refusing = True
        self.reset(len(self.channels))

    def reset(self, count: int) -> int:
        """Resets that many channels, on both sides; returns how many were open."""
        with self.lock:
            chosen, self.channels = self.channels[:count], self.channels[count:]
        for pair in chosen:
            for end in pair:
                _reset(end)
        return len(chosen)


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RST_ON_CLOSE)
        end.close()
