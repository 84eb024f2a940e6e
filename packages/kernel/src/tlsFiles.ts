import { describeError } from "@kumquathall/errors";
import type { TlsMaterial } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import { readFileSync, statSync } from "node:fs";

const CHECK_INTERVAL_MS = 5000;

/** Certificate, key and authority files, which are read again when one of them changes. */
export class TlsFiles {
    private material: TlsMaterial;
    private modificationTimes: string;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly files: { certificateFile: string; keyFile: string; authorityFile: string },
        private readonly logger: Logger,
    ) {
        this.material = this.readMaterial();
        this.modificationTimes = this.readModificationTimes();
        this.timer = setInterval(() => this.reload(), CHECK_INTERVAL_MS);
        this.timer.unref();
    }

    getMaterial(): TlsMaterial {
        return this.material;
    }

    /** Reads the files again if one has changed. If a file cannot be read, the previous material stays in use. */
    reload(): void {
        try {
            const modificationTimes = this.readModificationTimes();
            if (modificationTimes !== this.modificationTimes) {
                this.material = this.readMaterial();
                this.modificationTimes = modificationTimes;
                this.logger.info("tls-reloaded", { file: this.files.certificateFile });
            }
        }
        catch (error) {
            this.logger.error("tls-not-reloaded", { message: describeError(error) });
        }
    }

    close(): void {
        clearInterval(this.timer);
    }

    private readMaterial(): TlsMaterial {
        return {
            certificate: readFileSync(this.files.certificateFile, "utf8"),
            key: readFileSync(this.files.keyFile, "utf8"),
            authority: readFileSync(this.files.authorityFile, "utf8"),
        };
    }

    private readModificationTimes(): string {
        return [this.files.certificateFile, this.files.keyFile, this.files.authorityFile].map(file =>
            statSync(file).mtimeMs
        ).join("/");
    }
}
