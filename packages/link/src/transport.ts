import { KumquathallError } from "@kumquathall/errors";

/** Network address of a process. */
export interface Address {
    host: string;
    port: number;
}

/** PEM-encoded certificate, private key and certificate authority. Both sides of a link present a certificate. */
export interface TlsMaterial {
    certificate: string;
    key: string;
    authority: string;
}

/** Parses `host:port`. Throws {@link KumquathallError} if a part is missing or the port is invalid. */
export function parseAddress(text: string): Address {
    const colonIndex = text.lastIndexOf(":");
    const port = Number(text.slice(colonIndex + 1));
    if (colonIndex <= 0 || !Number.isInteger(port) || port < 0 || port > 65535) {
        throw new KumquathallError(`"${text}" is not an address of the form host:port`);
    }
    return { host: text.slice(0, colonIndex), port };
}
