import { QuarantineSubject, type SuspectRecord } from "@kumquathall/types";
import type { LogLine } from "./parseLogLine.js";

/** Lists what control has quarantined, without what gateways have logged as released later. */
export function listQuarantined(lines: LogLine[]): SuspectRecord[] {
    const records = new Map<string, SuspectRecord>();
    for (const { event, fields } of [...lines].sort((left, right) => left.atMs - right.atMs)) {
        const key = `${fields.subject} ${fields.id}`;
        if (event === "quarantined") {
            const subject = Object.values(QuarantineSubject).find(item => item === fields.subject);
            const { id: fingerprint, service, endpoints } = fields;
            records.set(key, { fingerprint, subject, service, crashes: endpoints.split(","), quarantined: true });
        }
        else if (event === "quarantine-released") {
            records.delete(key);
        }
    }
    return [...records.values()];
}
