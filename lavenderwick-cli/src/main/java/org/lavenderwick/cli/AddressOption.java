package org.lavenderwick.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import org.lavenderwick.adapters.settings.Addresses;

/** Checks options that hold an IP address and a port. */
public final class AddressOption implements IParameterValidator {

    @Override
    public void validate(String name, String value) {
        if (!Addresses.isIpAndPort(value)) {
            throw new ParameterException(
                    name + " is \"" + value + "\"; expected an IP address and port such as 127.0.1.10:8081.");
        }
    }
}
