import { PACKET_OVERHEAD_BYTES } from "./messageSizes.js";
import { renderPeerBounds } from "./renderPeerBounds.js";
import type { CapacityFigures } from "./slopes.js";

/** Size of the deployment to design for. */
const SIZE = {
    daemons: 510,
    servers: 12_000,
    vmsPerGroup: 32,
    regions: 3,
    requestsPerSecond: 14_000,
    tokensPerSecond: 3_700_000,
    changesPerDay: 70_000,
    vmFailuresPerDay: 92,
    restartsPerDay: 1400,
    controlVms: 28,
} as const;

/** Upper bounds on the resources that a daemon uses for control. */
const BOUNDS = { cpuShare: 0.013, residentBytes: 128 * 2 ** 20, bytesPerSecond: 10_000 } as const;

/** Intervals of the periodic messages and decisions of the product, in seconds. */
const INTERVALS_S = {
    vouch: 0.3,
    presence: 0.25,
    configuration: 0.4,
    lease: 0.3,
    load: 0.25,
    heartbeat: 0.5,
    decision: 0.2,
} as const;

const CONTROL_MEMBERS = 3;
/** Entries that an agent links to at that size. Agents currently link to all entries in their settings. */
const LINKS_PER_AGENT = 3;
const SECONDS_PER_DAY = 86_400;

interface Row {
    label: string;
    formula: string;
    value: number;
    unit: string;
}

/** Renders docs/CAPACITY.md. All figures come from the measured slopes and the constants above. */
export function renderCapacityPage(figures: CapacityFigures): string {
    const reader = new FigureReader(figures);
    const groups = Math.floor(SIZE.servers / SIZE.vmsPerGroup);
    return [
        "# The size to design for, worked out from measured slopes",
        "",
        `Rendered by \`npm run capacity\` from docs/capacity.json, which \`${figures.command}\` measures (Node ${figures.node}). Do not edit the tables by hand.`,
        "",
        `The size: ${SIZE.daemons} daemons before ${SIZE.servers} servers (24,000 accelerators), ${groups} replica groups of ${SIZE.vmsPerGroup} VMs, ${SIZE.regions} regions with 9 data centres, `
        + `${SIZE.requestsPerSecond} requests and ${
            SIZE.tokensPerSecond / 1e6
        } million tokens a second, ${SIZE.changesPerDay} configuration changes a day in force in 3 s, `
        + `${SIZE.vmFailuresPerDay} VM failures and ${SIZE.restartsPerDay} restarts a day. For control a daemon may spend ${
            BOUNDS.cpuShare * 100
        }% of a core, 128 MB and 10 KB a second; ${SIZE.controlVms} VMs may be set aside.`,
        "",
        "A region is self-contained, with one control group of three VMs: its share is a third of the servers and daemons. Figures of control are therefore for 4,000 VMs; the last column of the mechanism table says what carries each.",
        "",
        ...renderSlopes(figures),
        ...renderRole(
            "Control member (leader of one region, 4,000 VMs)",
            listControlRows(reader),
            "These VMs are set aside, so the bound per daemon does not apply to them.",
        ),
        ...renderRole("Entry", listEntryRows(reader), ""),
        ...renderRole("Agent (member of a group)", listAgentRows(reader), ""),
        ...renderRole(
            `Head of a group of ${SIZE.vmsPerGroup}`,
            listHeadRows(reader),
            "In addition to what an agent does.",
        ),
        ...renderBounds(reader),
        ...renderDailyEvents(reader),
        ...renderPeerBounds(),
        ...renderMechanisms(),
        ...renderMissedBounds(reader),
        "",
    ].join("\n");
}

/** Looks up measured figures by name; throws if one is missing. */
class FigureReader {
    constructor(private readonly figures: CapacityFigures) {}

    computeAt(name: string, size: number): number {
        const slope = this.figures.slopes.find(item => item.name === name);
        if (slope === undefined) {
            throw new Error(`docs/capacity.json has no slope "${name}"; run ${this.figures.command}`);
        }
        return Math.max(0, slope.fit.intercept + slope.fit.slope * size);
    }

    getBytes(name: string): number {
        const size = this.figures.sizes.find(item => item.name === name);
        if (size === undefined) {
            throw new Error(`docs/capacity.json has no size "${name}"; run ${this.figures.command}`);
        }
        return size.bytes;
    }

    getIdle(role: string): { cpuShare: number; residentBytes: number } {
        const idle = this.figures.idle.find(item => item.role === role);
        if (idle === undefined) {
            throw new Error(`docs/capacity.json has no idle figures of role "${role}"; run ${this.figures.command}`);
        }
        return idle;
    }
}

function listControlRows(reader: FigureReader): Row[] {
    const vms = SIZE.servers / SIZE.regions;
    const entries = SIZE.daemons / SIZE.regions;
    const changes = countChangesPerSecond() / SIZE.regions;
    const pushBytes = reader.getBytes("delta of one service change") + PACKET_OVERHEAD_BYTES;
    return [
        {
            label: "state in memory",
            formula: `slope at ${vms} VMs`,
            value: reader.computeAt("control state in memory", vms) / 2 ** 20,
            unit: "MiB",
        },
        {
            label: "snapshot on disk",
            formula: `slope at ${vms} VMs`,
            value: reader.computeAt("control snapshot", vms) / 2 ** 20,
            unit: "MiB",
        },
        {
            label: "planning",
            formula: `one plan at ${vms} VMs, ${1 / INTERVALS_S.decision} times a second`,
            value: reader.computeAt("one plan of all groups", vms) / 1e6 / INTERVALS_S.decision * 100,
            unit: "% of a core",
        },
        {
            label: "presence decisions",
            formula: `one at ${vms} VMs, ${1 / INTERVALS_S.decision} times a second`,
            value: reader.computeAt("one decision on presence", vms) / 1e6 / INTERVALS_S.decision * 100,
            unit: "% of a core",
        },
        {
            label: "deltas computed",
            formula: `${changes.toFixed(2)} changes a second, shared by all entries`,
            value: changes * reader.computeAt("delta of one change for an entry, computed", vms) / 1e6 * 100,
            unit: "% of a core",
        },
        {
            label: "deltas sent",
            formula: `${changes.toFixed(2)} changes a second to ${entries} entries`,
            value: changes * entries * pushBytes / 1000,
            unit: "KB/s",
        },
        {
            label: "presence and vouches answered",
            formula: `${entries} entries`,
            value: entries * (countEntryControlBytes(reader) / CONTROL_MEMBERS) / 1000,
            unit: "KB/s",
        },
    ];
}

function countChangesPerSecond(): number {
    // A failed or restarted VM causes a loss, a registration, a release and a new group: about eight records.
    return (SIZE.changesPerDay + (SIZE.vmFailuresPerDay + SIZE.restartsPerDay) * 8) / SECONDS_PER_DAY;
}

function countEntryControlBytes(reader: FigureReader): number {
    const revisionReports = CONTROL_MEMBERS / INTERVALS_S.vouch
        * (reader.getBytes("vouch, question and answer") + 2 * PACKET_OVERHEAD_BYTES);
    const presence = (reader.getBytes("presence without changes, question and answer") + 2 * PACKET_OVERHEAD_BYTES)
        / INTERVALS_S.presence;
    return revisionReports + presence;
}

function countPullsPerEntry(): number {
    return SIZE.servers / INTERVALS_S.configuration / SIZE.daemons;
}

function listEntryRows(reader: FigureReader): Row[] {
    const pulls = countPullsPerEntry();
    const pullBytes = reader.getBytes("agent's question for configuration, nothing new") + 2 * PACKET_OVERHEAD_BYTES;
    const changes = countChangesPerSecond() / SIZE.regions;
    const agentLinks = SIZE.servers * LINKS_PER_AGENT / SIZE.daemons;
    return [
        {
            label: "to and from control",
            formula: "vouches and presence",
            value: countEntryControlBytes(reader) / 1000,
            unit: "KB/s",
        },
        {
            label: "deltas received",
            formula: `${changes.toFixed(2)} a second`,
            value: changes * (reader.getBytes("delta of one service change") + PACKET_OVERHEAD_BYTES) / 1000,
            unit: "KB/s",
        },
        {
            label: "agents' questions answered",
            formula: `${pulls.toFixed(0)} a second`,
            value: pulls * pullBytes / 1000,
            unit: "KB/s",
        },
        {
            label: "agents' questions, processor",
            formula: `${pulls.toFixed(0)} a second at update and frame cost`,
            value: pulls
                * (reader.computeAt("update for one agent, computed at an entry", SIZE.servers)
                    + 2 * reader.computeAt("one frame encoded and decoded", 200))
                / 1e6 * 100,
            unit: "% of a core",
        },
        {
            label: "load reports received",
            formula: `${agentLinks.toFixed(0)} linked agents, ${1 / INTERVALS_S.load} a second each`,
            value: agentLinks / INTERVALS_S.load * (reader.getBytes("load report of an agent") + PACKET_OVERHEAD_BYTES)
                / 1000,
            unit: "KB/s",
        },
        {
            label: "one routing decision",
            formula: `${SIZE.servers / SIZE.vmsPerGroup} groups`,
            value: reader.computeAt("one routing decision", SIZE.servers / SIZE.vmsPerGroup),
            unit: "microseconds",
        },
        {
            label: "routing decisions",
            formula: `${(SIZE.requestsPerSecond / SIZE.daemons).toFixed(0)} requests a second at an entry`,
            value: SIZE.requestsPerSecond / SIZE.daemons
                * reader.computeAt("one routing decision", SIZE.servers / SIZE.vmsPerGroup) / 1e6 * 100,
            unit: "% of a core",
        },
        {
            label: "configuration in memory",
            formula: `${SIZE.servers / SIZE.regions} VMs of its region`,
            value: reader.computeAt("control state in memory", SIZE.servers / SIZE.regions) / 2 ** 20,
            unit: "MiB",
        },
    ];
}

function listAgentRows(reader: FigureReader): Row[] {
    const pull = (reader.getBytes("agent's question for configuration, nothing new") + 2 * PACKET_OVERHEAD_BYTES)
        / INTERVALS_S.configuration;
    const load = LINKS_PER_AGENT * (reader.getBytes("load report of an agent") + PACKET_OVERHEAD_BYTES)
        / INTERVALS_S.load;
    const lease = (reader.getBytes("lease of a member, question and answer") + 2 * PACKET_OVERHEAD_BYTES)
        / INTERVALS_S.lease;
    return [
        {
            label: "configuration",
            formula: `every ${INTERVALS_S.configuration} s from one entry`,
            value: pull / 1000,
            unit: "KB/s",
        },
        {
            label: "load reports",
            formula: `every ${INTERVALS_S.load} s to ${LINKS_PER_AGENT} entries`,
            value: load / 1000,
            unit: "KB/s",
        },
        { label: "lease to the head", formula: `every ${INTERVALS_S.lease} s`, value: lease / 1000, unit: "KB/s" },
    ];
}

function listHeadRows(reader: FigureReader): Row[] {
    const members = SIZE.vmsPerGroup;
    return [
        {
            label: "leases of all members",
            formula: `${members} every ${INTERVALS_S.lease} s`,
            value: members * (reader.getBytes("lease of a member, question and answer") + 2 * PACKET_OVERHEAD_BYTES)
                / INTERVALS_S.lease / 1000,
            unit: "KB/s",
        },
        {
            label: "leases, processor",
            formula: "one round at the slope",
            value: reader.computeAt("one round of leases at a head", members) / 1e6 / INTERVALS_S.lease * 100,
            unit: "% of a core",
        },
    ];
}

function sumRows(rows: Row[], unit: string): number {
    return rows.filter(row => row.unit === unit).reduce((sum, row) => sum + row.value, 0);
}

function renderSlopes(figures: CapacityFigures): string[] {
    return [
        "## Measured slopes",
        "",
        "| cost | per | line | points | residual |",
        "| --- | --- | --- | --- | --- |",
        ...figures.slopes.map(slope => {
            const points = slope.points.map(point => `${point.x}: ${formatNumber(point.y)}`).join(", ");
            return `| ${slope.name} | ${slope.per} | ${formatNumber(slope.fit.intercept)} + ${
                formatNumber(slope.fit.slope)
            } ${slope.unit} | ${points} | ${(slope.fit.residual * 100).toFixed(0)}% |`;
        }),
        "",
        "| message | bytes |",
        "| --- | --- |",
        ...figures.sizes.map(size => `| ${size.name} | ${size.bytes} |`),
        "",
        `A small message and its acknowledgement add ${PACKET_OVERHEAD_BYTES} bytes of headers.`,
        "",
        "| process without load | share of a core | resident |",
        "| --- | --- | --- |",
        ...figures.idle.map(idle =>
            `| ${idle.role} (median of ${idle.processes}) | ${(idle.cpuShare * 100).toFixed(2)}% | ${
                (idle.residentBytes / 2 ** 20).toFixed(0)
            } MiB |`
        ),
        "",
    ];
}

function renderRole(title: string, rows: Row[], note: string): string[] {
    return [
        `## ${title}`,
        "",
        ...(note === "" ? [] : [note, ""]),
        "| what | count x slope | value |",
        "| --- | --- | --- |",
        ...rows.map(row => `| ${row.label} | ${row.formula} | ${formatNumber(row.value)} ${row.unit} |`),
        "",
    ];
}

function renderBounds(reader: FigureReader): string[] {
    const entryBytes = sumRows(listEntryRows(reader), "KB/s") * 1000;
    const agentBytes = sumRows(listAgentRows(reader), "KB/s") * 1000;
    const headBytes = agentBytes + sumRows(listHeadRows(reader), "KB/s") * 1000;
    const rows: [string, number, number, string, number][] = [
        ["entry: bytes a second", entryBytes, BOUNDS.bytesPerSecond, "B/s", 1],
        ["agent: bytes a second", agentBytes, BOUNDS.bytesPerSecond, "B/s", 1],
        ["head: bytes a second", headBytes, BOUNDS.bytesPerSecond, "B/s", 1],
        [
            "entry: processor, measured without load",
            reader.getIdle("entry").cpuShare,
            BOUNDS.cpuShare,
            "% of a core",
            100,
        ],
        [
            "agent: processor, measured without load",
            reader.getIdle("agent").cpuShare,
            BOUNDS.cpuShare,
            "% of a core",
            100,
        ],
        [
            "entry: memory, measured plus configuration",
            reader.getIdle("entry").residentBytes
            + reader.computeAt("control state in memory", SIZE.servers / SIZE.regions),
            BOUNDS.residentBytes,
            "MiB",
            1 / 2 ** 20,
        ],
        ["agent: memory, measured", reader.getIdle("agent").residentBytes, BOUNDS.residentBytes, "MiB", 1 / 2 ** 20],
        ["VMs set aside: one control group a region", SIZE.regions * CONTROL_MEMBERS, SIZE.controlVms, "VMs", 1],
    ];
    return [
        "## Against the bounds",
        "",
        "| what | value | bound | held |",
        "| --- | --- | --- | --- |",
        ...rows.map(([what, value, bound, unit, scale]) =>
            `| ${what} | ${formatNumber(value * scale)} ${unit} | ${formatNumber(bound * scale)} | ${
                value <= bound ? "yes" : `no, ${formatNumber(value / bound)} times the bound`
            } |`
        ),
        "",
    ];
}

function renderDailyEvents(reader: FigureReader): string[] {
    const registerUs = reader.computeAt("commands applied for a registration", SIZE.servers / SIZE.regions);
    const domainVms = 64;
    const centreVms = SIZE.servers / 9;
    return [
        "## What a day costs",
        "",
        "| event | records at one control group | applied in |",
        "| --- | --- | --- |",
        `| ${SIZE.vmFailuresPerDay} VM failures and ${SIZE.restartsPerDay} restarts | ${
            Math.round((SIZE.vmFailuresPerDay + SIZE.restartsPerDay) * 8 / SIZE.regions)
        } a day | ${
            formatNumber((SIZE.vmFailuresPerDay + SIZE.restartsPerDay) * 8 / SIZE.regions * registerUs / 1000)
        } ms |`,
        `| ${SIZE.changesPerDay} configuration changes | ${Math.round(SIZE.changesPerDay / SIZE.regions)} a day | ${
            formatNumber(SIZE.changesPerDay / SIZE.regions * registerUs / 1000)
        } ms |`,
        `| a rack of ${domainVms} VMs | ${domainVms * 8} at once | ${
            formatNumber(domainVms * 8 * registerUs / 1000)
        } ms |`,
        `| a data centre of ${Math.round(centreVms)} VMs returns | ${Math.round(centreVms * 8)} at once | ${
            formatNumber(centreVms * 8 * registerUs / 1000)
        } ms, before planning |`,
        "| regions cut from each other for minutes | none: a region decides alone | - |",
        "",
        "Applying is not what limits a returning data centre: planning runs again after each batch, and loads are held back to eight groups at a time.",
        "",
    ];
}

function renderMechanisms(): string[] {
    return [
        "## What carries it",
        "",
        "| load | mechanism | today |",
        "| --- | --- | --- |",
        "| change in force everywhere in 3 s | revisions announced by control, deltas read by entries and by agents from entries; leases of 2.5 s, so that a process that missed a change stops taking work | built |",
        "| control's cost does not grow with endpoints at rest | entries report only agents that came or went | built |",
        "| leases of group members | members answer their head, heads check at each start of a request; control is not asked | built |",
        "| one computation of a delta for all entries | readers at the same revision share it | built |",
        "| a large traffic configuration | replicated and read as differences, whole only at a gateway's start; reads spread over the members | built; a change above 8 MiB is refused |",
        "| snapshots of a large state | encoded in slices beside the log | built |",
        "| agents link to a few entries, not all | a subset by rendezvous hash of the VM; heads to all entries of their region | not built: an agent links to every entry in its settings |",
        "| planner works on what changed | plan only services and domains touched since the last plan | not built: every plan looks at all VMs |",
        "| ledger over several control groups | shard by key; the group's name is in every link's greeting from the first day | not built: one group a region |",
        "| a region's entry knows only its region | one control group a region | built, by settings |",
        "| reconnect storm of a data centre | jittered backoff at dialers; joins are batched into one log entry | built; admission of joins is not |",
        "| measured demand of each model | each gateway sends its sums once a second to all members, the leader sends the totals back: they grow with gateways x models, not with requests | built; 160 bytes a report and 3.9 ms of processor time a second for 190 gateways in a trial, not in these slopes |",
        "| cold endpoints | permits as for limited endpoints, only while an endpoint is cold | built; 1.1 KB/s at each gateway for one cold endpoint and 4.2 KB/s for three in a trial, not in these slopes |",
        "| choice among hundreds of groups | a choice predicts times of 64 groups drawn at random; the others count as capacity | built; the list of endpoints is still passed over for each choice |",
        "",
    ];
}

function renderMissedBounds(reader: FigureReader): string[] {
    const pulls = countPullsPerEntry();
    return [
        "## Where a bound is missed, and what would carry it",
        "",
        "- **Bytes at an entry and at a head.** Most of an entry's bytes are load reports, questions of agents and vouches; a head's are leases. A question that has nothing new needs only a revision (a tenth of the bytes), load reports can ride on it, a plain member needs no load report at all, and a lease every 500 ms in place of 300 still lets two be lost. "
        + `With pulls once a second an entry answers ${(pulls * INTERVALS_S.configuration).toFixed(0)} in place of ${
            pulls.toFixed(0)
        } a second.`,
        "- **Processor without load.** Each timer wakes the process and each small message costs a system call. One timer wheel of 500 ms for a process, messages of one wake-up in one packet, and a raised vouch interval would carry it.",
        "- **First token within 1.1 s, 66 ms between tokens.** What the product adds is measured by `bench -- overhead`; the engines' own times are not measured here. Not measured at that size.",
        `- **Tokens.** ${SIZE.tokensPerSecond / 1e6} million tokens a second over ${SIZE.daemons} daemons are ${
            (SIZE.tokensPerSecond / SIZE.daemons).toFixed(0)
        } chunk frames a second at each, at ${
            formatNumber(reader.computeAt("one frame encoded and decoded", 200))
        } microseconds a frame ${
            formatNumber(
                SIZE.tokensPerSecond / SIZE.daemons * reader.computeAt("one frame encoded and decoded", 200) / 1e6
                    * 100,
            )
        }% of a core for framing alone if every token is a frame of its own. Chunks that arrive within a few milliseconds must share a frame; not built.`,
        "- **Not measured:** the storm of a whole data centre with real connections, regions cut from each other, disk use of the ledger at 24 h retention.",
    ];
}

function formatNumber(value: number): string {
    if (Math.abs(value) >= 1000) {
        return Math.round(value).toLocaleString("en-US");
    }
    return Number(value.toPrecision(3)).toString();
}
