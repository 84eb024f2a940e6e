import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Link } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import { MemoryDisk } from "@kumquathall/storage";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, strictEqual } from "node:assert";
import { ControlContacts, readContacts } from "./controlContacts.js";

const FILE = "contacts";
const OWN_ID = "10.0.0.1:70";
const MS_PER_SECOND = 1000;
const logger = createLogger({ write: () => undefined });

let clock: Clock;
let disk: MemoryDisk;
let contacts: ControlContacts;
let link: Link;

function createIdentity(id: string) {
    return { cluster: "c", controlGroup: "g", role: "control", id, incarnation: "1" };
}

function parseList(text: string): string[] {
    return text === "" ? [] : text.split(", ");
}

async function openContacts(stored?: string): Promise<void> {
    clock = install({ toFake: ["performance"] });
    disk = new MemoryDisk();
    if (stored !== undefined) {
        await disk.replace(FILE, Buffer.from(stored));
    }
    contacts = new ControlContacts({
        identity: createIdentity(OWN_ID),
        disk,
        logger,
        stored: await readContacts(disk, logger),
    });
}

function openLink(id: string): Link {
    link = { peer: createIdentity(id), isOpen: () => true } as Partial<Link> as Link;
    contacts.addLink(link);
    return link;
}

After({ tags: "@control-contacts" }, () => clock.uninstall());

Given("a disk whose contacts are {string}", (text: string) => openContacts(JSON.stringify(parseList(text))));

Given("a disk whose file of contacts is cut off", () => openContacts('["10.0.0.2:7'));

Given("a disk without contacts", () => openContacts());

When("the control processes {string} and {string} open links and close them", (first: string, second: string) => {
    [first, second].forEach(id => contacts.removeLink(openLink(id)));
});

When("the control process {string} opens a link", (id: string) => openLink(id));

When("that link closes", () => contacts.removeLink(link));

When("{int} s have passed without it", (seconds: number) => clock.tick(seconds * MS_PER_SECOND));

Then("it looks for {string}", (text: string) => deepStrictEqual(contacts.listLost().sort(), parseList(text)));

Then("its disk holds the contacts {string}", async (text: string) => {
    await contacts.save();
    strictEqual(Buffer.from(await disk.read(FILE)).toString(), JSON.stringify(parseList(text)));
});
