import type { TrafficAccount, TrafficRoute } from "@kumquathall/types";
import type { TrackedEndpoint } from "./endpointTracker.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import type { RouteTable } from "./routeTable.js";

export interface EndpointScopeOptions {
    table: Pick<RouteTable, "isEvacuated" | "countEvacuated">;
    route: Pick<TrafficRoute, "allowedRegions">;
    account: Pick<TrafficAccount, "allowedRegions"> | undefined;
    /** Returns the region of a data centre; `undefined` if it is not known. */
    getRegion: (dataCentre: string) => string | undefined;
}

type PlacedEndpoint = { readonly view: Pick<TrackedEndpoint["view"], "dataCentre"> };

/** Usual time until groups elsewhere serve instead, in milliseconds: their engines load from host copies. */
const RELOCATION_MS = 2000;

/** The endpoints that may get a request, by where they are. */
export class EndpointScope {
    /** Lists of regions of which each must hold the region of an endpoint. */
    private readonly restrictions: string[][];

    constructor(private readonly options: EndpointScopeOptions) {
        const { route, account } = options;
        this.restrictions = [route.allowedRegions ?? [], account?.allowedRegions ?? []]
            .filter(regions => regions.length > 0);
    }

    /** Selects the endpoints that may get the request; all of them, at no cost, if nothing is evacuated or restricted. */
    select<Endpoint extends PlacedEndpoint>(endpoints: Endpoint[]): Endpoint[] {
        if (this.restrictions.length === 0 && this.options.table.countEvacuated() === 0) {
            return endpoints;
        }
        return endpoints.filter(({ view }) =>
            !this.options.table.isEvacuated(view.dataCentre) && this.isInAllowedRegion(view.dataCentre)
        );
    }

    /** Builds the refusal of a request of which each endpoint is out of scope; `undefined` if that is not the reason. */
    findRefusal(endpoints: PlacedEndpoint[], random: number): Refusal | undefined {
        if (endpoints.length === 0 || this.select(endpoints).length > 0) {
            return undefined;
        }
        const isElsewhere = endpoints.every(({ view }) => !this.isInAllowedRegion(view.dataCentre));
        const cause = isElsewhere ? RefusalCause.NoAllowedRegion : RefusalCause.DataCentresEvacuated;
        return { ...cause, retryAfterMs: RELOCATION_MS * (0.75 + random / 2) };
    }

    /** An endpoint in an unknown region is in none that is allowed. */
    private isInAllowedRegion(dataCentre: string): boolean {
        return this.restrictions.every(regions => regions.includes(this.options.getRegion(dataCentre) ?? ""));
    }
}
