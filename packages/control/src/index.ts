/** The control role. Importing this package registers it with the kernel. */
export { CallerActivity, type CallerActivityOptions } from "./callerActivity.js";
export { ControlContacts, readContacts } from "./controlContacts.js";
export { ControlPlugin } from "./controlPlugin.js";
export { ControlRole, type ControlRoleOptions } from "./controlRole.js";
export type { ControlSettings, FoundingSettings } from "./controlSettings.js";
export { ControlStateMachine } from "./controlStateMachine.js";
export { Distributor } from "./distributor.js";
export { EndpointTask, type EndpointTaskOptions } from "./endpointTask.js";
export { EvacuationOrders, type EvacuationOrdersOptions, UnknownDataCentreError } from "./evacuationOrders.js";
export { LeaderCaller, type LeaderCallerOptions } from "./leaderCaller.js";
export { LimitTask, type LimitTaskOptions } from "./limitTask.js";
export { type MemberIdentity, readFoundingIdentity } from "./memberIdentity.js";
export { MembershipTask, type MembershipTaskOptions } from "./membershipTask.js";
export { MemberSilence, type MemberSilenceOptions } from "./memberSilence.js";
export {
    LateOrderError,
    MAX_ORDER_AGE_MS,
    OperatorOrder,
    type OperatorOrderOptions,
    SupersededOrderError,
} from "./operatorOrder.js";
export { type MemberChange, type MembershipInput, type MembershipPlan, planMembership } from "./planMembership.js";
export { decidePresence, type EntryReport, type PresenceInput, type PresenceOptions } from "./presence.js";
export { PublishRecorder, type PublishRecorderOptions } from "./publishRecorder.js";
export { ShareTable } from "./shareTable.js";
export {
    ConcurrentPublishError,
    ConfigurationSizeError,
    type PublishReceipt,
    PublishRefusedError,
    TrafficPublisher,
    type TrafficPublisherOptions,
} from "./trafficPublisher.js";
import { registerRolePlugin } from "@kumquathall/kernel";
import { ControlPlugin } from "./controlPlugin.js";

registerRolePlugin(new ControlPlugin());
