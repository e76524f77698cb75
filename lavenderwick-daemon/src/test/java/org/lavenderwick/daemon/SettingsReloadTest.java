package org.lavenderwick.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.adapters.settings.SessionSettingsLoader;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsReloadTest {

    @TempDir
    Path directory;

    private final List<SessionSettings> applied = new ArrayList<>();
    private Path file;
    private SettingsReload reload;

    private static String settings(int storePort) {
        return String.format(
                "{\"daemon\":\"d\",\"failureDomain\":\"z\",\"callerAddress\":\"127.0.0.1:1\","
                        + "\"readinessAddress\":\"127.0.0.1:2\",\"peerAddress\":\"127.0.0.1:3\","
                        + "\"storeAddress\":\"127.0.0.1:%d\",\"promotionAddress\":\"127.0.0.1:5\",\"stopSeconds\":6}",
                storePort);
    }

    @BeforeEach
    void createReload() throws IOException {
        file = Files.writeString(directory.resolve("settings.json"), settings(4));
        reload = new SettingsReload(file, SessionSettingsLoader.load(file).get(), applied::add);
        reload.check(true);
    }

    private void changeFile(String text) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(0));
    }

    @Test
    void unchangedSettingsAreNotAppliedAgain() {
        reload.check(true);
        assertThat(applied).isEmpty();
    }

    @Test
    void changedSettingsFileIsAppliedWithoutAReloadRequest() throws IOException {
        changeFile(settings(44));
        reload.check(false);
        assertThat(applied).hasSize(1);
        assertThat(applied.get(0).storeAddress().getPort()).isEqualTo(44);
    }

    @Test
    void invalidSettingsAreNotApplied() throws IOException {
        changeFile("{}");
        reload.check(false);
        assertThat(applied).isEmpty();
    }
}
