package org.lavenderwick.cli;

import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.daemon.fleet.AccountReport;

/** Shows one client account: its limit and the fingerprints of its keys. */
final class AccountShowCommand implements Command {

    @ParametersDelegate
    private final StoreOption store = new StoreOption();

    @Parameter(description = "NAME", required = true)
    private String account;

    @Override
    public String name() {
        return "account show";
    }

    @Override
    public String description() {
        return "Show the limit of a client account and the fingerprints of its keys.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        if (account.isEmpty() || account.chars().anyMatch(Character::isWhitespace)) {
            return terminal.misuse("The name of an account is one word.", "See lavenderwick account list.");
        }
        return store.read(terminal, content -> {
            Optional<List<String>> lines = AccountReport.of(content).show(AccountName.of(account));
            if (lines.isEmpty()) {
                return terminal.fail(
                        "The configuration has no account " + account + ".", "See lavenderwick account list.");
            }
            lines.get().forEach(terminal::print);
            return ExitCode.DONE;
        });
    }
}
