import { applyPublishPlan, type StepOutcome } from "@kumquathall/apply-publish-plan";
import { assemblePublishPlan, PlanAction, type PublishPlan } from "@kumquathall/assemble-publish-plan";
import { readServiceFiles } from "@kumquathall/read-service-files";
import { randomUUID } from "node:crypto";
import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine } from "../../print.js";
import { runValidate } from "../validate/index.js";

export interface PublishArgs extends ConnectionArgs {
    folder: string;
    dryRun: boolean;
}

/** Reads the service files of a folder, prints the publish plan and applies it. Returns the exit code. */
export async function runPublish(args: PublishArgs): Promise<number> {
    const files = readServiceFiles(args.folder);
    if (files.isLeft()) {
        return runValidate(args);
    }
    const client = createClient(args);
    const { services } = await client.readConfiguration();
    const plan = assemblePublishPlan(files.unsafeCoerce().map(file => file.definition), services, randomUUID);
    if (!args.json) {
        printPlan(plan);
    }
    const hasConflict = plan.steps.some(step => step.action === PlanAction.Conflict);
    if (args.dryRun || hasConflict) {
        if (args.json) {
            printJson(plan);
        }
        else {
            printLine(
                hasConflict
                    ? "Nothing was sent. Raise the versions in conflict and publish again."
                    : "Nothing was sent (--dry-run).",
            );
        }
        return hasConflict ? ExitCode.Refused : ExitCode.Done;
    }
    const outcomes = await applyPublishPlan(plan, client);
    printOutcomes(outcomes, args.json);
    return outcomes.some(outcome => outcome.result?.kind === "refused") ? ExitCode.Refused : ExitCode.Done;
}

function printPlan(plan: PublishPlan): void {
    for (const step of plan.steps) {
        const { institution, service, version } = step.definition;
        printLine(`${step.action.padEnd(9)} ${institution}/${service} version ${version}`);
        step.changes.forEach(change => printLine(`          ${change}`));
    }
}

function printOutcomes(outcomes: StepOutcome[], isJson: boolean): void {
    if (isJson) {
        printJson(
            outcomes.map(({ step, result }) => ({
                action: step.action,
                changeId: step.changeId,
                service: step.definition.service,
                result,
            })),
        );
        return;
    }
    for (const { step, result } of outcomes) {
        const name = `${step.definition.institution}/${step.definition.service}`;
        if (result?.kind === "accepted") {
            printLine(`${name}: accepted at revision ${result.revision}; in force everywhere within 3 s.`);
        }
        else if (result?.kind === "refused") {
            printLine(`${name}: refused: ${result.message}`);
            printLine(`          change ${step.changeId}; run "kumquathall publish" again to see the differences.`);
        }
    }
}
