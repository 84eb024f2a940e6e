import { EVACUATION_KEY_PREFIX } from "@kumquathall/control-state";
import type { ConfigurationUpdate } from "@kumquathall/types";

/** An evacuation that an update has put in force or withdrawn. */
export interface EvacuationChange {
    dataCentre: string;
    isEvacuated: boolean;
}

/** Data centres whose endpoints get nothing new, as control members distribute them. */
export class Evacuations {
    private evacuated = new Set<string>();

    /** Applies the changes of an update and returns what differs; a snapshot replaces everything. */
    apply(update: ConfigurationUpdate): EvacuationChange[] {
        const next = new Set(update.isSnapshot ? [] : this.evacuated);
        for (const { key, value } of update.changes) {
            if (!key.startsWith(EVACUATION_KEY_PREFIX)) {
                continue;
            }
            const dataCentre = key.slice(EVACUATION_KEY_PREFIX.length);
            if (value === undefined) {
                next.delete(dataCentre);
            }
            else {
                next.add(dataCentre);
            }
        }
        const begun = [...next].filter(dataCentre => !this.evacuated.has(dataCentre));
        const withdrawn = [...this.evacuated].filter(dataCentre => !next.has(dataCentre));
        this.evacuated = next;
        return [
            ...begun.map(dataCentre => ({ dataCentre, isEvacuated: true })),
            ...withdrawn.map(dataCentre => ({ dataCentre, isEvacuated: false })),
        ];
    }

    has(dataCentre: string): boolean {
        return this.evacuated.has(dataCentre);
    }

    count(): number {
        return this.evacuated.size;
    }
}
