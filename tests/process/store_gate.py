"""A TCP proxy on loopback between one instance and the store, which a test closes and opens."""

import asyncio
import threading

from harness import free_ports
from job_fleet import JobFleet

READ_BYTES = 65536
STOP_SECONDS = 5


class StoreGate:
    """Forwards connections to the store. While closed, it ends every connection at once."""

    def __init__(self, store_port):
        self._store_port = store_port
        (self.port,) = free_ports(1)
        self._is_open = True
        self._transports = set()
        self._loop = asyncio.new_event_loop()
        self._loop.run_until_complete(
            asyncio.start_server(self._serve, "127.0.0.1", self.port))
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def close(self):
        self._run(self._set_open(False))

    def open(self):
        self._run(self._set_open(True))

    def stop(self):
        self.close()
        self._run(self._wait_for_connections())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine):
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _set_open(self, is_open):
        self._is_open = is_open
        if not is_open:
            for transport in self._transports:
                transport.abort()

    async def _wait_for_connections(self):
        others = asyncio.all_tasks() - {asyncio.current_task()}
        if others:
            await asyncio.wait(others, timeout=STOP_SECONDS)

    async def _serve(self, reader, writer):
        if not self._is_open:
            return writer.transport.abort()
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self._store_port)
        except OSError:
            return writer.transport.abort()
        transports = {writer.transport, store_writer.transport}
        self._transports |= transports
        if self._is_open:
            await asyncio.gather(self._forward(reader, store_writer),
                                 self._forward(store_reader, writer))
        for transport in transports:
            transport.abort()
        self._transports -= transports

    @staticmethod
    async def _forward(reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class GatedFleet(JobFleet):
    """A job fleet with a gate between each instance and the store."""

    def __init__(self, build):
        super().__init__(build)
        self.gates = {}

    def start_instance(self, name, store_port=None):
        self.gates[name] = StoreGate(store_port or self.store_port)
        return super().start_instance(name, self.gates[name].port)

    def __exit__(self, *error):
        super().__exit__(*error)
        for gate in self.gates.values():
            gate.stop()
