import type { Command } from "@kumquathall/types";
import {
    applyConfirmLoad,
    applyConfirmRelease,
    applyDrainGroup,
    applyFormGroup,
    applyLoseVm,
    applyRegisterVm,
    applyReleaseGroup,
} from "./applyGroups.js";
import { applyDrain, applyReleaseQuarantine } from "./applyOperations.js";
import { applyPublish } from "./applyPublish.js";
import type { ApplyOptions, ApplyResult } from "./applyResult.js";
import { applySafePoint } from "./applySafePoint.js";
import { applyClearSuspects, applyQuarantine, applyReportCrash } from "./applySuspects.js";
import { applyChangeTraffic, applyPublishTraffic } from "./applyTraffic.js";
import { advanceMetricTotals } from "./institutionMetrics.js";
import { applyLedgerAbandon, applyLedgerAnswer, applyLedgerBegin } from "./ledger.js";
import type { ControlState } from "./state.js";

/** Applies one committed command. Pure: every member computes the same state and result. */
export function applyCommand(state: ControlState, command: Command, options: ApplyOptions): ApplyResult {
    const changeId = "changeId" in command ? command.changeId : undefined;
    const earlier = changeId === undefined ? undefined : state.changes.get(changeId);
    if (earlier !== undefined && options.disabledGuard !== "changeIdAnswer") {
        return { state, result: earlier };
    }
    const isLedger = command.kind.startsWith("ledger");
    const timed = isLedger ? state : { ...state, metricTotals: advanceMetricTotals(state, command.at) };
    const applied = dispatchCommand(timed, command, options);
    if (changeId === undefined) {
        return applied;
    }
    return { ...applied, state: { ...applied.state, changes: applied.state.changes.set(changeId, applied.result) } };
}

function dispatchCommand(state: ControlState, command: Command, options: ApplyOptions): ApplyResult {
    switch (command.kind) {
        case "publish":
            return applyPublish(state, command, options);
        case "publishTraffic":
            return applyPublishTraffic(state, command, options);
        case "changeTraffic":
            return applyChangeTraffic(state, command, options);
        case "registerVm":
            return applyRegisterVm(state, command, options);
        case "loseVm":
            return applyLoseVm(state, command, options);
        case "formGroup":
            return applyFormGroup(state, command, options);
        case "confirmLoad":
            return applyConfirmLoad(state, command, options);
        case "drainGroup":
            return applyDrainGroup(state, command.groupId, command.reason, options);
        case "releaseGroup":
            return applyReleaseGroup(state, command.groupId, command.reason, options);
        case "confirmRelease":
            return applyConfirmRelease(state, command, options);
        case "drain":
        case "undrain":
            return applyDrain(state, command, options);
        case "ledgerBegin":
            return applyLedgerBegin(state, command, options.index, options.disabledGuard);
        case "ledgerAnswer":
            return applyLedgerAnswer(state, command, options.index);
        case "ledgerAbandon":
            return applyLedgerAbandon(state, command, options.index);
        case "reportCrash":
            return applyReportCrash(state, command, options);
        case "clearSuspects":
            return applyClearSuspects(state, command.fingerprints, options);
        case "quarantine":
            return applyQuarantine(state, command, options);
        case "releaseQuarantine":
            return applyReleaseQuarantine(state, command, options);
        case "raiseSafePoint":
            return applySafePoint(state, command.revision, command.ledgerTimeMs, options);
    }
}
