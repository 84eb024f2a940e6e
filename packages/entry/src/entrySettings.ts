/** Operation that an operator is allowed to perform. */
export type OperatorRight = "read" | "publish" | "drain";

export interface OperatorAccount {
    name: string;
    /** Hexadecimal SHA-256 of the operator's key. */
    keyDigest: string;
    rights: OperatorRight[];
}

/** Settings of the entry role. */
export interface EntrySettings {
    /** Address of the HTTP server for callers and operators. */
    http: string;
    /** Address on which agents connect. */
    listen: string;
    /** Members of the control group. */
    control: { id: string; address: string }[];
    operators: OperatorAccount[];
    routingPolicy: string;
    maxBodyBytes: number;
    /** Time within which a caller must have sent its complete request, in milliseconds. */
    requestTimeoutMs: number;
    /** Without a configuration lease: `refuse` new requests, or `serve` them by a possibly outdated configuration. */
    onControlLoss: "refuse" | "serve";
    /** How long a stopping entry still accepts requests after its readiness check fails, in milliseconds. */
    stopGraceMs: number;
    /** TLS certificate and key for callers and operators. Without them, the entry serves plain HTTP. */
    httpsFiles?: { certificateFile: string; keyFile: string };
}
