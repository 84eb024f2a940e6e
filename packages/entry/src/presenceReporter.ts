import type { PeerIdentity } from "@kumquathall/link";
import type { ControlCall } from "@kumquathall/types";
import type { AdmissionTable } from "./admissionTable.js";
import type { ControlClient } from "./controlClient.js";
import type { EndpointTable } from "./endpointTable.js";

export interface PresenceReporterOptions {
    identity: PeerIdentity;
    client: ControlClient;
    endpoints: EndpointTable;
    admission: AdmissionTable;
    intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 250;
const REPORT_TIMEOUT_MS = 1500;

/** Reports connected agents and capacity demands to the leader, and applies the capacity shares in its answer. */
export class PresenceReporter {
    private sequence = 0;
    private mustSendFull = true;
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(private readonly options: PresenceReporterOptions) {
        void this.report();
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    private async report(): Promise<void> {
        const { identity, client, endpoints, admission } = this.options;
        const isFull = this.mustSendFull;
        const call: ControlCall = {
            kind: "presence",
            entry: identity.id,
            incarnation: identity.incarnation,
            sequence: ++this.sequence,
            isFull,
            ...endpoints.takePresenceChanges(isFull),
            demands: admission.listDemands(),
        };
        const answer = await client.callLeader(call, performance.now() + REPORT_TIMEOUT_MS).catch(() => undefined);
        if (answer?.kind === "presence") {
            this.mustSendFull = answer.wantsFull;
            admission.applyShares(answer.shares, performance.now());
        }
        else {
            this.mustSendFull = true;
        }
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.report(), this.options.intervalMs ?? DEFAULT_INTERVAL_MS);
        }
    }
}
