import { Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import { install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import { Registry } from "prom-client";
import { type InvalidResponseReasonValue, InvalidResponses } from "./invalidResponses.js";
import { registerGatewayMetrics } from "./metrics.js";

let registry: Registry;
let lines: string[] = [];

When(
    "{int} invalid responses with the reason {string} are recorded, one each {int} ms",
    (count: number, reason: InvalidResponseReasonValue, everyMs: number) => {
        const clock = install();
        try {
            lines = [];
            registry = new Registry();
            const metrics = registerGatewayMetrics(registry, {
                countLimited: () => 0,
                countPaused: () => 0,
                countEvacuated: () => 0,
                countHeldBytes: () => ({}),
                listReturns: () => [],
            });
            const logger = createLogger({ level: "info", write: line => lines.push(line) });
            const responses = new InvalidResponses(logger, metrics.invalidResponses);
            for (let at = 0; at < count; at++) {
                responses.record({ endpoint: "e", reason, requestId: `r-${at}`, status: 200 });
                clock.tick(everyMs);
            }
        }
        finally {
            clock.uninstall();
        }
    },
);

Then("{int} are counted with the reason {string}", async (count: number, reason: string) => {
    const name = "kumquathall_gateway_invalid_responses_total";
    const { values } = await registry.getSingleMetric(name)?.get() ?? { values: [] };
    strictEqual(values.find(item => item.labels.reason === reason)?.value, count);
});

Then("{int} lines are logged, of which one says that {int} were skipped", (count: number, skipped: number) => {
    strictEqual(lines.length, count);
    strictEqual(lines.filter(line => line.includes(`skipped=${skipped}`)).length, 1);
});
