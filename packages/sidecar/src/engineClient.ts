import { KumquathallError } from "@kumquathall/errors";
import type { EngineOrder, EngineStatus } from "@kumquathall/types";

/** The engine gave no usable response, so its state is unknown. */
export class EngineClientError extends KumquathallError {}

/** The engine's address refuses connections: the engine process has ended. */
export class EngineUnreachableError extends EngineClientError {}

export interface EngineReport {
    /** Start of the incarnation that responded, Unix milliseconds. */
    bornMs: number;
    status: EngineStatus;
    /** Time for which the engine stays cold, in milliseconds; not set if it reports none. */
    coldMs?: number;
}

/** Client of the engine that a sidecar watches. */
export abstract class EngineClient {
    /** Rejects with {@link EngineUnreachableError} if connections are refused, else with {@link EngineClientError}. */
    abstract readReport(): Promise<EngineReport>;
    /** Sends an order; resolves with the engine's response. Rejects with {@link EngineClientError}. */
    abstract sendOrder(order: EngineOrder): Promise<{ isAccepted: boolean; status: number }>;
    abstract close(): void;
}
