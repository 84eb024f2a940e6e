import type { PeerIdentity, TlsMaterial } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import { randomUUID } from "node:crypto";
import type { Registry } from "prom-client";
import type { DaemonSettings } from "./daemonSettings.js";

/** What the kernel gives a role. */
export interface RoleContext {
    settings: DaemonSettings;
    logger: Logger;
    metrics: Registry;
    /** Certificate and key for inner links, read anew when the files change; `undefined` without TLS. */
    tls: (() => TlsMaterial) | undefined;
    /** Ends the process: the role can no longer keep its promises. */
    fail: (error: unknown) => void;
}

/** A role that runs. */
export interface RunningRole {
    /** Whether the process should get traffic. */
    isReady(): boolean;
    /** Stops gracefully: takes nothing new, finishes what is in flight. */
    drain(): Promise<void>;
    /** Closes sockets and files. Called once, after `drain` or without it. */
    close(): Promise<void>;
}

/** A role of the daemon. Registers itself when its package is imported. */
export abstract class RolePlugin {
    abstract readonly name: string;
    /** JSON schema of the role's part of the settings. */
    abstract readonly settingsSchema: object;
    abstract start(context: RoleContext, roleSettings: unknown): Promise<RunningRole>;
}

/** Creates the identity that a role shows on inner links; every call is a new incarnation. */
export function createIdentity(context: RoleContext, role: string, id: string = context.settings.id): PeerIdentity {
    const { cluster, controlGroup } = context.settings;
    return { cluster, controlGroup, role, id, incarnation: randomUUID() };
}
