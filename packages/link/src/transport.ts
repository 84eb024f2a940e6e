import { KumquathallError } from "@kumquathall/errors";

/** Where a process listens. */
export interface Address {
    host: string;
    port: number;
}

/** Certificate, key and authority in PEM. Both sides of an inner link present a certificate. */
export interface TlsMaterial {
    certificate: string;
    key: string;
    authority: string;
}

/** Parses `host:port`. Throws when either part is missing. */
export function parseAddress(text: string): Address {
    const at = text.lastIndexOf(":");
    const port = Number(text.slice(at + 1));
    if (at <= 0 || !Number.isInteger(port) || port < 0 || port > 65535) {
        throw new KumquathallError(`"${text}" is not an address of the form host:port`);
    }
    return { host: text.slice(0, at), port };
}
