"""Stand in for the network path between a daemon and one peer."""

import anyio

from azurelanding.settings import split_address


class TcpPath:
    """Forwards connections to ``target`` until it is cut.

    A cut path accepts new connections and carries nothing, like one that lost
    track of them; connections opened before the cut stay silent for good.
    ``forwarded_bytes`` counts bytes, both ways together.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_cut = False
        self.generation = 0
        self.forwarded_bytes = 0

    def cut(self):
        """Carry nothing from now on."""
        self.is_cut = True
        self.generation += 1

    def restore(self):
        """Carry what comes over new connections."""
        self.is_cut = False

    async def _pump(self, source, sink, generation):
        try:
            async for chunk in source:
                if generation != self.generation:
                    await anyio.sleep_forever()
                await sink.send(chunk)
                self.forwarded_bytes += len(chunk)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    async def _forward(self, stream):
        async with stream:
            if self.is_cut:
                await anyio.sleep_forever()
            generation = self.generation
            async with (
                await anyio.connect_tcp(*split_address(self.target)) as far,
                anyio.create_task_group() as task_group,
            ):
                task_group.start_soon(self._pump, stream, far, generation)
                await self._pump(far, stream, generation)
                task_group.cancel_scope.cancel()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Forward until cancelled."""
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            task_status.started()
            await listener.serve(self._forward)
