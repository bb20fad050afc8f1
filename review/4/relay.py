# Relays before the members' announced addresses: a one way delay and a window for each pair of machines. A machine can lose its power.
import asyncio
import os


def owner_of(port, processes):
    """Name of the started process that holds the other end of a loopback connection from this port."""
    inode = None
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            words = line.split()
            if int(words[1].split(":")[1], 16) == port and words[3] == "01":
                inode = words[9]
                break
    for process in processes if inode else ():
        if not process.running():
            continue
        folder = "/proc/%d/fd" % process.p.pid
        try:
            for descriptor in os.listdir(folder):
                try:
                    if os.readlink(os.path.join(folder, descriptor)) == "socket:[%s]" % inode:
                        return process.name
                except OSError:
                    pass
        except OSError:
            pass
    return None


class Relay:
    """Before `member` at ip:port; `link(caller, member)` gives (one way seconds, window in bytes).

    `watch(kind, source, to, data)` is told of bytes that leave ("left") and that have come ("came").
    """

    def __init__(self, member, ip, port, link, processes, watch):
        self.member, self.ip, self.port, self.link, self.processes, self.watch = member, ip, port, link, processes, watch
        self.dark = set()  # machines without power: nothing more comes from them or to them, and nothing is said

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, limit=65536)

    async def accept(self, reader, writer):
        caller = None
        for _ in range(20):
            caller = owner_of(writer.get_extra_info("peername")[1], self.processes())
            if caller:
                break
            await asyncio.sleep(0.005)
        name = self.member.name
        if name in self.dark or caller in self.dark:
            while await reader.read(65536):
                pass
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.member.ip, self.port, limit=65536)
        except OSError:
            writer.transport.abort()
            return
        delay, window = self.link(caller, name)
        await asyncio.gather(self.pump(reader, far_writer, caller, name, delay, window),
                             self.pump(far_reader, writer, name, caller, delay, window))

    async def pump(self, reader, writer, source, to, delay, window):
        try:
            while True:
                data = await reader.read(window)
                if source in self.dark or to in self.dark:
                    if not data:
                        return
                    continue
                if not data:
                    break
                self.watch("left", source, to, data)
                if delay:
                    await asyncio.sleep(delay)
                if to in self.dark:
                    continue
                writer.write(data)  # what was on its way when its sender lost power still comes
                await writer.drain()
                self.watch("came", source, to, data)
                if delay and len(data) >= window:
                    await asyncio.sleep(delay)  # the next window leaves once this one is acknowledged
        except (ConnectionError, OSError):
            pass
        if source not in self.dark and to not in self.dark:
            try:
                writer.close()
            except OSError:
                pass
