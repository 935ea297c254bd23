"""Simulate the network path between a daemon and one service."""

import anyio

from azurelanding.addresses import split_address


class TcpPath:
    """Forwards connections to ``target`` until it is cut.

    A cut path accepts new connections and forwards nothing, like a middlebox that
    lost its connection state. Connections opened before the cut stay silent after
    the path is restored. ``forwarded_bytes`` counts bytes, both directions together.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_cut = False
        self.generation = 0
        self.forwarded_bytes = 0

    def cut(self):
        """Stop forwarding on open and new connections."""
        self.is_cut = True
        self.generation += 1

    def restore(self):
        """Forward again on connections that are opened from now on."""
        self.is_cut = False

    async def _forward_stream(self, source, sink, generation):
        try:
            async for chunk in source:
                if generation != self.generation:
                    await anyio.sleep_forever()
                await sink.send(chunk)
                self.forwarded_bytes += len(chunk)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    async def _forward_connection(self, client_stream):
        async with client_stream:
            if self.is_cut:
                await anyio.sleep_forever()
            generation = self.generation
            async with (
                await anyio.connect_tcp(*split_address(self.target)) as target_stream,
                anyio.create_task_group() as task_group,
            ):
                task_group.start_soon(
                    self._forward_stream, client_stream, target_stream, generation
                )
                await self._forward_stream(target_stream, client_stream, generation)
                task_group.cancel_scope.cancel()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listen and forward connections until cancelled."""
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            task_status.started()
            await listener.serve(self._forward_connection)
