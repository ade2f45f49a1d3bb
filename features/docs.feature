Feature: The docs name what there is
  What a reader looks up is in the docs, under its own name.

  Scenario: settings, errors and metrics
    When the docs are compared with the source
    Then SETTINGS.md names every key of the settings with its default
    And API.md names every error code with its status and verdict
    And METRICS.md names every figure
    And PLATFORM.md names every event, series and line of the platform's settings
    And 429 and 503 go with not-run only, 502 and 504 with may-have-run only
