import type { RequestTraits, SuspectRecord } from "@kumquathall/types";
import type { CrashReporter } from "./crashReporter.js";
import type { TrackedEndpoint } from "./endpointTracker.js";
import { computeFingerprint } from "./fingerprint.js";
import type { QuarantineList } from "./quarantineList.js";

export interface RequestSubjectsOptions {
    /** Name of the client account. */
    account: string | undefined;
    method: string;
    path: string;
    body: Buffer;
    promptParts: string[];
    quarantine: QuarantineList;
    crashReporter: CrashReporter;
}

/** Time in which an endpoint's loss is reported, in milliseconds. */
const LOSS_REPORT_MS = 1000;

/** What a request may be quarantined for, or may be evidence about: itself and the prompt parts that it carries. */
export class RequestSubjects {
    private fingerprint: string | undefined;

    constructor(private readonly options: RequestSubjectsOptions) {}

    /** Computes the fingerprint at the first call. */
    describe(): RequestTraits {
        return { fingerprint: this.getFingerprint(), parts: this.options.promptParts };
    }

    /** Finds the record by which the request must be refused. */
    findQuarantine(): SuspectRecord | undefined {
        const { quarantine, promptParts } = this.options;
        return quarantine.findRecord(promptParts, () => this.getFingerprint());
    }

    /** Reports that an endpoint has completed the request. A response that does not say where it ends may be cut short. */
    reportSurvival(endpoint: TrackedEndpoint, saysWhereItEnds: boolean): void {
        const report = () => {
            if (!endpoint.hasEnded) {
                const { crashReporter, promptParts } = this.options;
                crashReporter.reportSurvival(promptParts, () => this.describe(), performance.now());
            }
        };
        if (saysWhereItEnds) {
            report();
        }
        else {
            setTimeout(report, LOSS_REPORT_MS).unref();
        }
    }

    private getFingerprint(): string {
        const { account, method, path, body } = this.options;
        this.fingerprint ??= computeFingerprint(account, method, path, body);
        return this.fingerprint;
    }
}
