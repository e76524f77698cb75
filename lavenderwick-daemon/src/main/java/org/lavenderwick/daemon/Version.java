package org.lavenderwick.daemon;

import java.util.Optional;

/** The version of the program. */
final class Version {
    private Version() {}

    /** Returns the version in the manifest of the jar file, or a note that there is none. */
    static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
