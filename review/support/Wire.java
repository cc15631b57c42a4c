import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform that the stand-ins speak, from {@code wire.properties}. */
final class Wire {
  private static final Properties NAMES = load();

  static final String SETTINGS_VARIABLE = name("settings.variable");
  static final String OPERATOR_TOPIC = name("topic.operator");
  static final String ENGINE_TOPIC = name("topic.engines");
  static final String DUTY_TOPIC = name("topic.duty");
  static final String APPEND = name("log.append");
  static final String READ = name("log.read");
  static final String NEWEST = name("log.newest");
  static final String JOIN = name("group.join");
  static final String LEAVE = name("group.leave");
  static final String FENCE = name("order.fence");
  static final String EXPECTED_ORDERS = name("order.expected");

  private Wire() {}

  private static String name(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalStateException("no name for " + key);
    }
    return name;
  }

  private static Properties load() {
    Properties names = new Properties();
    try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
      names.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return names;
  }
}
