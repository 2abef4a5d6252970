package org.boragebarrow.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.Example;
import org.boragebarrow.node.settings.HostSettings;

import static com.google.common.truth.Truth.assertThat;

class PrintSettingsCommandTest {
    @Example
    void printedSettingsParseOnceTheRequiredKeysAreFilledIn() throws IOException {
        Path secret = Files.createTempFile("boragebarrow", "secret");
        Files.writeString(secret, "a key of more than 16 bytes");
        String filled = PrintSettingsCommand.annotatedSettings()
                .replace("# required: id =", "id = host-1")
                .replace("# required: zone =", "zone = a")
                .replace("# required: token =", "token = file:" + secret)
                .replace("# required: key =", "key = file:" + secret)
                .replaceAll("# required: (\\S+) =", "$1 = 127.0.0.1:1")
                .replace(" NAME]", " desk]");
        assertThat(HostSettings.parse(filled).id().value()).isEqualTo("host-1");
        Files.delete(secret);
    }
}
