package org.limpetdoor.format;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.format.configuration.ConfigurationReader;
import org.limpetdoor.format.configuration.ConfigurationWriter;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.format.settings.SettingsReader;

/** Guards against example documents that the readers reject. */
final class ExamplesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");

  @ParameterizedTest
  @CsvSource({"dev,2,2,0", "cooperative,11,15,75", "exchange,10,13,55"})
  void configurationsAreValidAtTheStatedSizes(String name, int engines, int models, int adapters)
      throws IOException {
    Configuration content = configuration(name);
    assertThat(content.engines()).hasSize(engines);
    assertThat(content.models()).hasSize(models);
    assertThat(content.adapters()).hasSize(adapters);
  }

  /** Guards against an example in which the loss of one zone makes a model unavailable. */
  @ParameterizedTest
  @ValueSource(strings = {"cooperative", "exchange"})
  void everyModelStartsInTwoZones(String name) throws IOException {
    Configuration content = configuration(name);
    for (Model model : content.models().values()) {
      long zones =
          content.engines().values().stream()
              .filter(engine -> engine.initialModels().contains(model.id()))
              .map(Engine::zone)
              .distinct()
              .count();
      assertWithMessage(model.id().value()).that(zones).isAtLeast(2);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"dev", "cooperative", "exchange"})
  void settingsAreValid(String name) throws IOException {
    InstanceSettings settings = SettingsReader.read(name, text(name, "entry-1.json")).orThrow();
    assertThat(settings.peerAddress()).isPresent();
    assertThat(settings.logStream()).isEqualTo("limpetdoor");
  }

  /** Guards against a writer whose output the reader rejects or reads differently. */
  @ParameterizedTest
  @ValueSource(strings = {"dev", "cooperative", "exchange"})
  void configurationsRoundTrip(String name) throws IOException {
    Configuration content = configuration(name);
    String written = ConfigurationWriter.write(content);
    assertThat(ConfigurationReader.read("written", written).orThrow()).isEqualTo(content);
  }

  /** Guards against an example whose key digest does not match the documented key. */
  @Test
  void documentedKeysMatchTheirCustomers() throws IOException {
    KeyDigest bakery =
        new KeyDigest("abf7affcbef45b4df1d3cf375de02fe855d095b4fcd97dc8c1c705b0981ab12f");
    assertThat(configuration("dev").contractOf(bakery).orElseThrow().customer().value())
        .isEqualTo("bakery");
  }

  private static Configuration configuration(String name) throws IOException {
    return ConfigurationReader.read(name, text(name, "configuration.json")).orThrow();
  }

  private static String text(String name, String file) throws IOException {
    return Files.readString(EXAMPLES.resolve(name).resolve(file));
  }
}
