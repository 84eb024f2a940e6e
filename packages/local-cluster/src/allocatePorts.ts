import { createServer } from "node:net";

/** Finds distinct free loopback ports: all stay bound until the last is found, so that none is returned twice. */
export async function allocatePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return server;
    }));
    const ports = servers.map(server => {
        const bound = server.address();
        return typeof bound === "object" && bound !== null ? bound.port : 0;
    });
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
