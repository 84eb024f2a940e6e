import { PlanAction, type PublishPlan, type PublishStep } from "@kumquathall/assemble-publish-plan";
import { describeError, KumquathallError } from "@kumquathall/errors";
import type { CommandResult } from "@kumquathall/types";

/** No answer to a change after all attempts. The same change may be sent again. */
export class PublishError extends KumquathallError {}

/** Sends one change to the system. */
export abstract class PublishClient {
    /** Rejects when no answer arrived, in which case the change may or may not be in force. */
    abstract send(step: PublishStep): Promise<CommandResult>;
}

/** What became of one step. */
export interface StepOutcome {
    step: PublishStep;
    /** `undefined` when nothing had to be sent. */
    result: CommandResult | undefined;
}

export interface ApplyPlanOptions {
    attempts?: number;
    pauseMs?: number;
}

const DEFAULT_ATTEMPTS = 8;
const DEFAULT_PAUSE_MS = 500;

/** Sends every step that changes something, resending each with its change id until it is answered. */
export async function applyPublishPlan(
    plan: PublishPlan,
    client: PublishClient,
    options: ApplyPlanOptions = {},
): Promise<StepOutcome[]> {
    const outcomes: StepOutcome[] = [];
    for (const step of plan.steps) {
        const mustSend = step.action === PlanAction.Create || step.action === PlanAction.Update;
        outcomes.push({ step, result: mustSend ? await sendUntilAnswered(step, client, options) : undefined });
    }
    return outcomes;
}

async function sendUntilAnswered(
    step: PublishStep,
    client: PublishClient,
    options: ApplyPlanOptions,
): Promise<CommandResult> {
    const attempts = options.attempts ?? DEFAULT_ATTEMPTS;
    let lastError: unknown;
    for (let attempt = 1; attempt <= attempts; attempt++) {
        try {
            return await client.send(step);
        }
        catch (error) {
            lastError = error;
            await new Promise(resolve => setTimeout(resolve, options.pauseMs ?? DEFAULT_PAUSE_MS));
        }
    }
    throw new PublishError(
        `no answer to change ${step.changeId} after ${attempts} attempts: ${describeError(lastError)}. `
            + "Publish the same folder again: a change that is already in force is not made twice",
        lastError,
    );
}
