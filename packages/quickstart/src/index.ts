/** The demonstration that `npm run quickstart` runs. */
export { runQuickstart } from "./runQuickstart.js";
