import { PlanAction, type PublishPlan, type PublishStep } from "@kumquathall/assemble-publish-plan";
import { describeError, KumquathallError } from "@kumquathall/errors";
import type { CommandResult } from "@kumquathall/types";

/** A change that got no answer in any attempt. It may have been applied, and it is safe to send it again. */
export class PublishError extends KumquathallError {}

/** Sends changes to the system. */
export abstract class PublishClient {
    /** Sends one change. Rejects if no answer arrives; the change may then be in force or not. */
    abstract send(step: PublishStep): Promise<CommandResult>;
}

/** Outcome of one step. */
export interface StepOutcome {
    step: PublishStep;
    /** `undefined` if the step required no change. */
    result: CommandResult | undefined;
}

export interface ApplyPlanOptions {
    /** Maximum number of times that one change is sent. */
    attempts?: number;
    retryDelayMs?: number;
}

const DEFAULT_ATTEMPTS = 8;
const DEFAULT_RETRY_DELAY_MS = 500;

/** Sends each step that creates or updates a service, with the same change id until it is answered. */
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
            await new Promise(resolve => setTimeout(resolve, options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS));
        }
    }
    throw new PublishError(
        `no answer to change ${step.changeId} after ${attempts} attempts: ${describeError(lastError)}. `
            + "Publish the same folder again: a change that is already in force is not applied twice",
        lastError,
    );
}
