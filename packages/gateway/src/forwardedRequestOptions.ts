import type { ByteBudget } from "@kumquathall/byte-collector";
import type { CapacitySharing } from "@kumquathall/capacity-sharing";
import type { Logger } from "@kumquathall/logger";
import type { RequestCostEstimator } from "@kumquathall/request-cost";
import type { TrafficAccount, TrafficRoute } from "@kumquathall/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerFlow } from "./answerFlow.js";
import type { CallerConnections } from "./callerConnections.js";
import type { CapacityReporter } from "./capacityReporter.js";
import type { CrashReporter } from "./crashReporter.js";
import type { EndpointLimits } from "./endpointLimits.js";
import type { EndpointTracker } from "./endpointTracker.js";
import type { FirstEventBiasEstimator } from "./firstEventBiasEstimator.js";
import type { HttpHeaderCodec, RequestHead } from "./httpHeaderCodec.js";
import type { InvalidResponses } from "./invalidResponses.js";
import type { GatewayMetrics } from "./metrics.js";
import type { QuarantineList } from "./quarantineList.js";
import type { RequestScope } from "./requestScope.js";
import type { RouteTable } from "./routeTable.js";
import type { SharedRetryBudget } from "./sharedRetryBudget.js";
import type { UnreadAnswers } from "./unreadAnswers.js";

/** What one request is and what it needs to be forwarded. */
export interface ForwardedRequestOptions {
    request: IncomingMessage;
    response: ServerResponse;
    body: Buffer;
    /** Monotonic time at which the request's headers arrived, in milliseconds. */
    arrivedAt: number;
    head: RequestHead;
    route: TrafficRoute;
    account: TrafficAccount | undefined;
    service: string;
    table: RouteTable;
    /** Version by which the request was accepted. */
    configurationVersion: number;
    tracker: EndpointTracker;
    /** Returns the region of a data centre; `undefined` if it is not known. */
    getRegion: (dataCentre: string) => string | undefined;
    /** Connections of callers, the request's among them. */
    connections: CallerConnections;
    /** Whether the process has been asked to stop. */
    isStopping: () => boolean;
    codec: HttpHeaderCodec;
    logger: Logger;
    metrics: GatewayMetrics;
    budget: SharedRetryBudget;
    bias: FirstEventBiasEstimator;
    costs: RequestCostEstimator;
    /** Estimated time between the caller's first attempt and the arrival of this request, in milliseconds. */
    ageMs: number;
    limits: EndpointLimits;
    sharing: CapacitySharing;
    reporter: CapacityReporter;
    quarantine: QuarantineList;
    crashReporter: CrashReporter;
    /** Memory of the incomplete responses and events of all requests. */
    answerBytes: ByteBudget;
    /** Lets answers wait at their endpoints while their memory is used up. */
    answerFlow: AnswerFlow;
    /** Runs whatever is called for this request. */
    scope: RequestScope;
    /** Memory of the events that all callers have not read. */
    unreadEventBytes: ByteBudget;
    unreadAnswers: UnreadAnswers;
    invalidResponses: InvalidResponses;
    onEnd: (isServed: boolean) => void;
}
