/** Entry point of `npm run capacity`: renders docs/CAPACITY.md from docs/capacity.json. */
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { renderCapacityPage } from "./capacityPage.js";
import { CAPACITY_FILE, type CapacityFigures } from "./slopes.js";

const page = fileURLToPath(new URL("../../../docs/CAPACITY.md", import.meta.url));
writeFileSync(page, renderCapacityPage(JSON.parse(readFileSync(CAPACITY_FILE, "utf8")) as CapacityFigures));
process.stdout.write(`wrote ${page}\n`);
