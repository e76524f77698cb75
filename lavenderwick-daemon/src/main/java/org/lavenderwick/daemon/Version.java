package org.lavenderwick.daemon;

import java.util.Optional;

/** The version of the program. */
final class Version {
    private Version() {}

    /** Returns the implementation version from the jar manifest, or {@code development} if there is none. */
    static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
