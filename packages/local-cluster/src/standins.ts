import { type EngineOptions, StandinEngine, StandinService } from "@kumquathall/standin-engine";
import type { PlannedEndpoint } from "./clusterPlan.js";

/** Stand-in engines and services of a system, and the URL of each, by VM. */
export interface Standins {
    engines: Map<string, StandinEngine>;
    services: Map<string, StandinService>;
    urls: Map<string, string>;
    close: () => Promise<void>;
}

/** Starts one stand-in for each endpoint. */
export async function startStandins(
    endpoints: PlannedEndpoint[],
    engineOptions: EngineOptions = {},
): Promise<Standins> {
    const engines = new Map<string, StandinEngine>();
    const services = new Map<string, StandinService>();
    const urls = new Map<string, string>();
    for (const endpoint of endpoints) {
        if (endpoint.kind === "model") {
            const engine = await StandinEngine.listen({ ...engineOptions, fencing: endpoint.fencing });
            engines.set(endpoint.vm, engine);
            urls.set(endpoint.vm, engine.getUrl());
        }
        else {
            const service = await StandinService.listen();
            services.set(endpoint.vm, service);
            urls.set(endpoint.vm, service.getUrl());
        }
    }
    const close = async () => {
        await Promise.all([...engines.values(), ...services.values()].map(item => item.close()));
    };
    return { engines, services, urls, close };
}
