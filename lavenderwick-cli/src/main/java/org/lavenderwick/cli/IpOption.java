package org.lavenderwick.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import org.lavenderwick.adapters.settings.Addresses;

/** Checks options that hold an IP address. */
public final class IpOption implements IParameterValidator {

    @Override
    public void validate(String name, String value) {
        if (!Addresses.isIp(value)) {
            throw new ParameterException(name + " is \"" + value + "\"; expected an IP address such as 127.0.1.10.");
        }
    }
}
