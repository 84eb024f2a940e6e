import { applyPublishPlan, type StepOutcome } from "@kumquathall/apply-publish-plan";
import { assemblePublishPlan } from "@kumquathall/assemble-publish-plan";
import { KumquathallError } from "@kumquathall/errors";
import { OperatorClient } from "@kumquathall/operator-client";
import { readServiceFiles } from "@kumquathall/read-service-files";
import { randomUUID } from "node:crypto";
import { DEMO_OPERATOR_KEY } from "./clusterPlan.js";

/** Publishes a folder of service files to a demonstration system. Throws if a file is invalid. */
export async function publishFolder(folder: string, entryUrls: string[]): Promise<StepOutcome[]> {
    const files = readServiceFiles(folder);
    if (files.isLeft()) {
        throw new KumquathallError((files.extract() as Error[]).map(error => error.message).join("\n"));
    }
    const client = new OperatorClient({ entryUrls, key: DEMO_OPERATOR_KEY });
    const { services } = await client.readConfiguration();
    const plan = assemblePublishPlan(files.unsafeCoerce().map(file => file.definition), services, randomUUID);
    return applyPublishPlan(plan, client);
}
