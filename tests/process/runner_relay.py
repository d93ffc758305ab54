"""Relays on loopback between the instances and the runners. Connections to a relay outlive the
runner behind it: what waits while the runner is dead reaches its next incarnation."""

import asyncio
import threading

from harness import free_ports
from job_fleet import JobFleet

READ_BYTES = 65536
POLL = b"POST /hold "
WAIT_FIELD = b'"WaitMs"'
START = b"POST /run-start "


class RelayLoop:
    """The thread with the event loop of all relays of a fleet."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def call(self, function, *arguments):
        """Calls `function` on the loop's thread and returns its result."""
        async def run():
            return function(*arguments)
        return asyncio.run_coroutine_threadsafe(run(), self._loop).result()

    def listen(self, serve, port):
        asyncio.run_coroutine_threadsafe(
            asyncio.start_server(serve, "127.0.0.1", port), self._loop).result()

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self):
        self._loop.run_forever()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.wait(tasks))
        self._loop.close()


class RunnerRelay:
    """Forwards connections to one runner. The methods are called from the test's thread."""

    def __init__(self, loop, runner_port):
        self.runner_port = runner_port
        (self.port,) = free_ports(1)
        self._loop = loop
        self._links = set()
        # Set while bytes are passed on or dropped; otherwise they wait.
        self.passing = asyncio.Event()
        self.passing.set()
        self.polls_passing = asyncio.Event()
        self.polls_passing.set()
        self.is_cut = False
        self.loses_answers = False
        loop.listen(self._serve, self.port)

    def go_dark(self):
        """Ends the connections to the runner, which is about to crash. Those to the instances stay
        open, and what arrives on them waits."""
        self._loop.call(self._go_dark)

    def open(self):
        """Passes on what has waited and all that follows. Ends connections that lost bytes."""
        self._loop.call(self._set_mode, False, False)

    def cut(self):
        """Drops all bytes; the connections stay open."""
        self._loop.call(self._set_mode, True, False)

    def lose_answers(self):
        """Passes on all calls and drops the answers."""
        self._loop.call(self._set_mode, False, True)

    def hold_polls(self, held):
        """Holds polls that wait for a result, and those behind them on their connections."""
        self._loop.call(self.polls_passing.clear if held else self.polls_passing.set)

    def reset_commands(self, count):
        """Resets connections that have carried starts, `count` at most; returns how many."""
        return self._loop.call(self._reset_commands, count)

    def _go_dark(self):
        self.passing.clear()
        for link in self._links:
            link.drop_runner()

    def _set_mode(self, is_cut, loses_answers):
        if not is_cut and not loses_answers:
            for link in [link for link in self._links if link.has_gap]:
                link.abort()
        self.is_cut = is_cut
        self.loses_answers = loses_answers
        self.passing.set()

    def _reset_commands(self, count):
        chosen = [link for link in self._links if link.carried_start][:count]
        for link in chosen:
            link.abort()
        return len(chosen)

    async def _serve(self, reader, writer):
        link = _Link(self, reader, writer)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)
            link.close()


class _Link:
    """One connection of an instance, with the connection to the runner that serves it now."""

    def __init__(self, relay, reader, writer):
        self._relay = relay
        self._reader = reader
        self._writer = writer
        self._runner_writer = None
        self._tasks = set()
        self.has_gap = False
        self.carried_start = False

    async def run(self):
        """Passes on calls until the instance closes the connection."""
        try:
            while data := await self._reader.read(READ_BYTES):
                await self._wait_to_pass(data)
                if self._relay.is_cut:
                    self.has_gap = True
                    continue
                self.carried_start = self.carried_start or data.startswith(START)
                await self._send(data)
        except OSError:
            pass

    def drop_runner(self):
        runner_writer, self._runner_writer = self._runner_writer, None
        if runner_writer is not None:
            runner_writer.transport.abort()

    def abort(self):
        self.drop_runner()
        self._writer.transport.abort()

    def close(self):
        """Closes the connections once the bytes that were passed on are written."""
        runner_writer, self._runner_writer = self._runner_writer, None
        for writer in (self._writer, runner_writer):
            if writer is not None:
                writer.close()

    async def _wait_to_pass(self, data):
        relay = self._relay
        is_poll = data.startswith(POLL) and WAIT_FIELD in data
        while not relay.passing.is_set() or (is_poll and not relay.polls_passing.is_set()):
            await relay.passing.wait()
            if is_poll:
                await relay.polls_passing.wait()

    async def _send(self, data):
        if self._runner_writer is None:
            reader, self._runner_writer = await asyncio.open_connection(
                "127.0.0.1", self._relay.runner_port)
            task = asyncio.create_task(self._pass_answers(reader, self._runner_writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if not self._relay.passing.is_set():
                # The runner has crashed while the connection was opened.
                self.drop_runner()
                await self._wait_to_pass(data)
                return await self._send(data)
        self._runner_writer.write(data)
        await self._runner_writer.drain()

    async def _pass_answers(self, reader, runner_writer):
        try:
            while data := await reader.read(READ_BYTES):
                if self._runner_writer is not runner_writer:
                    return  # The connection was dropped with its runner.
                if self._relay.is_cut or self._relay.loses_answers:
                    self.has_gap = True
                    continue
                self._writer.write(data)
                await self._writer.drain()
        except OSError:
            pass
        if self._runner_writer is not runner_writer:
            return
        if self._relay.is_cut:
            self.has_gap = True
        else:
            self._writer.close()


class RelayedFleet(JobFleet):
    """A job fleet with a relay between the instances and each runner."""

    def __init__(self, build):
        super().__init__(build)
        self.relay_loop = RelayLoop()
        self.relays = {}

    def published_port(self, port):
        relay = RunnerRelay(self.relay_loop, port)
        self.relays[f"runner-{len(self.relays)}"] = relay
        return relay.port

    def crash(self, runner):
        """Ends a runner silently. Calls to it wait."""
        self.relays[runner].go_dark()
        self.crash_runner(runner)

    def __exit__(self, *error):
        super().__exit__(*error)
        self.relay_loop.stop()
