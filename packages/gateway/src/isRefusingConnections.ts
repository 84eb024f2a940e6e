import { parseAddress } from "@kumquathall/link";
import { connect } from "node:net";

const TIMEOUT_MS = 500;

/** Resolves with whether an address refuses connections, so that no process listens there. */
export function isRefusingConnections(address: string): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ ...parseAddress(address), timeout: TIMEOUT_MS });
        const settle = (isRefusing: boolean) => {
            socket.destroy();
            resolve(isRefusing);
        };
        socket.on("connect", () => settle(false));
        socket.on("timeout", () => settle(false));
        socket.on("error", (error: Error & { code?: string }) => settle(error.code === "ECONNREFUSED"));
    });
}
