@processes
Feature: Callers and operators over HTTPS
  With a certificate and a key in the settings both HTTP ports serve HTTPS.

  Scenario: an instance with a certificate
    Given an instance with a certificate for its address
    Then the instance with a certificate gives each of these
      | call                        | seen                       |
      | models over https           | 200                        |
      | health over https           | 200                        |
      | models over plain http      | no HTTP answer             |
      | models, unknown authority   | certificate refused        |
      | dump command with authority | exit code 0                |
      | dump command without        | exit code 1                |

  Scenario: a certificate that cannot be read
    Given settings with a certificate that is not there
    Then serving with that certificate ends with exit code 2 and one line that names it
