package org.limpetdoor.bench.experiment;

import java.util.Locale;
import java.util.Map;

/** Bar charts of the first figure of each experiment as SVG, one row for each chart. */
final class Plot {
  private static final int WIDTH = 720;
  private static final int BAR_AREA_LEFT = 160;
  private static final int BAR_HEIGHT = 18;
  private static final int CHART_GAP = 34;
  private static final int BAR_AREA_WIDTH = 460;

  private final StringBuilder body = new StringBuilder();
  private int y = 20;

  void add(Experiment experiment, Site site, Map<Policy, Map<String, Sample>> results) {
    text(10, y, experiment.title() + ", " + site.label());
    y += 8;
    double maximum =
        results.values().stream()
            .map(f -> f.get(experiment.title()))
            .mapToDouble(s -> s.mean() + s.deviation())
            .max()
            .orElse(1);
    results.forEach((policy, f) -> bar(policy.label(), f.get(experiment.title()), maximum));
    y += CHART_GAP;
  }

  private void bar(String label, Sample sample, double maximum) {
    double width = BAR_AREA_WIDTH * sample.mean() / maximum;
    double spread = BAR_AREA_WIDTH * sample.deviation() / maximum;
    int middle = y + BAR_HEIGHT / 2;
    text(10, y + 13, label);
    append(
        "<rect x='%d' y='%d' width='%.1f' height='%d' fill='#4a7ba6'/>",
        BAR_AREA_LEFT, y, width, BAR_HEIGHT - 4);
    append(
        "<line x1='%.1f' y1='%d' x2='%.1f' y2='%d' stroke='black'/>",
        BAR_AREA_LEFT + width - spread, middle - 2, BAR_AREA_LEFT + width + spread, middle - 2);
    text(BAR_AREA_LEFT + BAR_AREA_WIDTH + 10, y + 13, sample.toString());
    y += BAR_HEIGHT;
  }

  private void text(int x, int atY, String value) {
    append("<text x='%d' y='%d'>%s</text>", x, atY, value);
  }

  private void append(String format, Object... values) {
    body.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  String text() {
    return String.format(
        "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' font-family='sans-serif'"
            + " font-size='12'>%n<rect width='100%%' height='100%%' fill='white'/>%n%s</svg>%n",
        WIDTH, y, body);
  }
}
