import type { TrafficAccount, TrafficRoute } from "@kumquathall/types";
import type { TrackedEndpoint } from "./endpointTracker.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import type { RouteTable } from "./routeTable.js";

export interface EndpointScopeOptions {
    table: Pick<RouteTable, "isEvacuated">;
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
    constructor(private readonly options: EndpointScopeOptions) {}

    /** Selects the endpoints that may get the request. */
    select<Endpoint extends PlacedEndpoint>(endpoints: Endpoint[]): Endpoint[] {
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
        const { route, account, getRegion } = this.options;
        return [route.allowedRegions, account?.allowedRegions].every(regions =>
            regions === undefined || regions.length === 0 || regions.includes(getRegion(dataCentre) ?? "")
        );
    }
}
