import type { PeerIdentity, TlsMaterial } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import { randomUUID } from "node:crypto";
import type { Registry } from "prom-client";
import type { DaemonSettings } from "./daemonSettings.js";

/** Resources that the kernel provides to a role. */
export interface RoleContext {
    settings: DaemonSettings;
    logger: Logger;
    metrics: Registry;
    /** Returns the certificate and key for links, reread when the files change; `undefined` without TLS. */
    tls: (() => TlsMaterial) | undefined;
    /** Reports that the role has failed and can no longer operate correctly; the process then exits. */
    fail: (error: unknown) => void;
}

/** A running role. */
export interface RunningRole {
    /** Whether the role can take traffic. */
    isReady(): boolean;
    /** Counts the work that is lost if the process ends now, by kind. */
    countInFlight?(): Record<string, number>;
    /** Refuses new work and resolves when the work in flight is finished. */
    drain(): Promise<void>;
    /** Closes sockets and files. Called once, with or without `drain` before it. */
    close(): Promise<void>;
}

/** A role of the daemon. Its package registers it when imported. */
export abstract class RolePlugin {
    abstract readonly name: string;
    /** JSON schema of the role's own settings. */
    abstract readonly settingsSchema: object;
    abstract start(context: RoleContext, roleSettings: unknown): Promise<RunningRole>;
}

/** Creates the identity with which a role identifies itself to its peers. Each call creates a new incarnation. */
export function createIdentity(context: RoleContext, role: string, id: string = context.settings.id): PeerIdentity {
    const { cluster, controlGroup } = context.settings;
    return { cluster, controlGroup, role, id, incarnation: randomUUID() };
}
