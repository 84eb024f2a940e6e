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

export interface AgentServerOptions {
    context: RoleContext;
    identity: PeerIdentity;
    listen: string;
    reader: ConfigurationReader;
    client: ControlClient;
    endpoints: EndpointTable;
    attemptTable: AttemptTable;
}

/** Commands that agents are allowed to propose. */
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
const PROPOSE_TIMEOUT_MS = 2000;

/** Accepts links from agents, routes their messages and forwards their proposals to control. */
export class AgentServer {
    private listener: LinkListener | undefined;
    private readonly updateBuilder: AgentUpdateBuilder;

    private constructor(private readonly options: AgentServerOptions) {
        this.updateBuilder = new AgentUpdateBuilder(() => options.reader.getConfiguration());
    }

    static async listen(options: AgentServerOptions): Promise<AgentServer> {
        const agentServer = new AgentServer(options);
        agentServer.listener = await LinkListener.listen({
            address: parseAddress(options.listen),
            tls: options.context.tls?.(),
            identity: options.identity,
            handlers: {
                onCall: (message, link) => agentServer.handleCall(message as AgentCall, link),
                onCast: (message, link) => agentServer.handleCast(message as AgentCast, link),
                onClose: link => {
                    options.endpoints.handleLinkClosed(link);
                    options.attemptTable.handleLinkClosed(link);
                },
            },
        });
        return agentServer;
    }

    /** Notifies the agents whose VM or replica group changed, so that they pull the configuration immediately. */
    sendConfigurationHints(keys: string[]): void {
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
                    this.options.attemptTable.handleAgentReconnect(message.vm, message.incarnation, link);
                }
                return;
            case "load":
                if (message.vm === vm) {
                    this.options.endpoints.handleLoad(message.vm, message.report);
                }
                return;
            default:
                this.options.attemptTable.handleMessage(message, link);
        }
    }

    private async handleCall(message: AgentCall, link: Link): Promise<ConfigurationAnswer | ControlAnswer> {
        if (message.kind === "configuration") {
            const leaseMs = this.options.reader.getLeaseMs(performance.now());
            return { update: this.updateBuilder.build(message.vm, message.since), leaseMs };
        }
        if (message.kind === "control" && message.call.kind === "propose") {
            this.checkCommand(message.call.command, link);
            return this.options.client.callLeader(message.call, performance.now() + PROPOSE_TIMEOUT_MS);
        }
        throw new KumquathallError("agents may only send configuration calls and proposals");
    }

    private checkCommand(command: Command, link: Link): void {
        const isOwnVm = !("vm" in command) || command.vm === link.peer?.id;
        if (!AGENT_COMMANDS.has(command.kind) || !isOwnVm) {
            throw new KumquathallError(`agent ${link.peer?.id} may not propose ${command.kind}`);
        }
    }
}
