import { getGroup } from "@kumquathall/control-state";
import { KumquathallError } from "@kumquathall/errors";
import type { RoleContext } from "@kumquathall/kernel";
import { type Link, LinkListener, parseAddress, type PeerIdentity } from "@kumquathall/link";
import type {
    AgentCall,
    AgentToEntry,
    AnnounceMessage,
    Command,
    ConfigurationAnswer,
    ControlAnswer,
    LoadReport,
} from "@kumquathall/types";
import { AgentUpdateBuilder } from "./agentUpdate.js";
import type { AttemptTable } from "./attemptTable.js";
import type { ConfigurationReader } from "./configurationReader.js";
import type { ControlClient } from "./controlClient.js";
import type { EndpointTable } from "./endpointTable.js";

type AgentCast = AnnounceMessage | AgentToEntry | { kind: "load"; vm: string; report: LoadReport };

export interface AgentGatewayOptions {
    context: RoleContext;
    identity: PeerIdentity;
    listen: string;
    reader: ConfigurationReader;
    client: ControlClient;
    endpoints: EndpointTable;
    exchanges: AttemptTable;
}

/** Commands that an agent may propose. */
const AGENT_COMMANDS = new Set<Command["kind"]>([
    "confirmLoad",
    "confirmRelease",
    "releaseGroup",
    "ledgerBegin",
    "ledgerAnswer",
    "ledgerAbandon",
    "reportCrash",
    "clearSuspects",
]);
const PROPOSE_MS = 2000;

/** The entry's side of the links to agents. */
export class AgentGateway {
    private listener: LinkListener | undefined;
    private readonly updates: AgentUpdateBuilder;

    private constructor(private readonly options: AgentGatewayOptions) {
        this.updates = new AgentUpdateBuilder(() => options.reader.getConfiguration());
    }

    static async listen(options: AgentGatewayOptions): Promise<AgentGateway> {
        const gateway = new AgentGateway(options);
        gateway.listener = await LinkListener.listen({
            address: parseAddress(options.listen),
            tls: options.context.tls?.(),
            identity: options.identity,
            handlers: {
                onCall: (message, link) => gateway.handleCall(message as AgentCall, link),
                onCast: (message, link) => gateway.handleCast(message as AgentCast, link),
                onClose: link => {
                    options.endpoints.handleLinkClosed(link);
                    options.exchanges.handleLinkClosed(link);
                },
            },
        });
        return gateway;
    }

    /** Tells agents whose VM or group changed to ask at once. */
    hint(keys: string[]): void {
        const vms = new Set<string>();
        for (const key of keys) {
            if (key.startsWith("vm/")) {
                vms.add(key.slice("vm/".length));
            }
            else if (key.startsWith("group/")) {
                getGroup(this.options.reader.getConfiguration(), key.slice("group/".length))?.vms.forEach(vm =>
                    vms.add(vm)
                );
            }
        }
        for (const vm of vms) {
            this.options.endpoints.getAgent(vm)?.link.cast({ kind: "configurationHint" });
        }
    }

    close(): void {
        this.listener?.close();
    }

    private handleCast(message: AgentCast, link: Link): void {
        const vm = link.peer?.id;
        switch (message.kind) {
            case "announce":
                if (message.vm === vm && message.incarnation === link.peer?.incarnation) {
                    this.options.endpoints.handleAnnounce(message, link);
                    this.options.exchanges.handleAgentBack(message.vm, message.incarnation, link);
                }
                return;
            case "load":
                if (message.vm === vm) {
                    this.options.endpoints.handleLoad(message.vm, message.report);
                }
                return;
            default:
                this.options.exchanges.handleMessage(message, link);
        }
    }

    private async handleCall(message: AgentCall, link: Link): Promise<ConfigurationAnswer | ControlAnswer> {
        if (message.kind === "configuration") {
            const leaseMs = this.options.reader.getLeaseMs(performance.now());
            return { update: this.updates.build(message.vm, message.since), leaseMs };
        }
        if (message.kind === "control" && message.call.kind === "propose") {
            this.checkCommand(message.call.command, link);
            return this.options.client.callLeader(message.call, performance.now() + PROPOSE_MS);
        }
        throw new KumquathallError("an agent may not send this call");
    }

    private checkCommand(command: Command, link: Link): void {
        const isOwn = !("vm" in command) || command.vm === link.peer?.id;
        if (!AGENT_COMMANDS.has(command.kind) || !isOwn) {
            throw new KumquathallError(`agent ${link.peer?.id} may not propose ${command.kind}`);
        }
    }
}
