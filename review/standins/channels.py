"""A TCP forwarder whose open channels can be reset at both ends.

A reset closes both sockets of a channel with a reset instead of an end of stream; new
channels work as before.
"""

import select
import socket
import struct
import threading


POLL_S = 0.01


class Channels:
    """Forwards the channels of one address.

    Args:
        listen: Host and port to listen on.
        upstream: Host and port to forward to.
    """

    def __init__(self, listen, upstream):
        self.upstream = upstream
        self.generation = 0
        self.listener = socket.create_server(listen, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self):
        """Resets all channels that are open now."""
        self.generation += 1

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            work = threading.Thread(
                target=self._serve, args=(near, self.generation), daemon=True
            )
            work.start()

    def _serve(self, near, generation):
        try:
            far = socket.create_connection(self.upstream, timeout=5)
        except OSError:
            near.close()
            return
        peers = {near: far, far: near}
        for end in peers:
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        readers = [near, far]
        try:
            while readers and self.generation == generation:
                for reader in select.select(readers, [], [], POLL_S)[0]:
                    data = reader.recv(65536)
                    if data:
                        peers[reader].sendall(data)
                    else:
                        readers.remove(reader)
                        peers[reader].shutdown(socket.SHUT_WR)
        except OSError:
            pass
        if readers:
            linger = struct.pack("ii", 1, 0)
            for end in peers:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        for end in peers:
            end.close()
