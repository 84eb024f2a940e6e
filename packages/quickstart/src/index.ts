/** The demonstration behind `npm run quickstart`. */
export { runQuickstart } from "./runQuickstart.js";
